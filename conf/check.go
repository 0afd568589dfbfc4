package conf

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"pollenlatch/yamlx"
)

// Limits of settings.
const (
	MaxInForceDelay = 11 * time.Second     // of Timings.Grace and Timings.Lease together, after which a ticket is in force on all instances
	MinInterval     = 5 * time.Millisecond // of every timing
	MaxDrain        = 2 * time.Second      // of Timings.Drain
	MinSessionLimit = 8                    // of Settings.MaxSessions
	MaxSessionLimit = 1024                 // of Settings.MaxSessions; takes 18 MB
	MaxContacts     = 16                   // of Settings.Voters and Settings.Seeds
	MaxTokens       = 256
)

// Names are used in paths, header fields and metrics.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

const nameHint = "use 1 to 128 letters, digits, '.', '_' or '-', with a letter or digit at both ends"

// checkStandalone checks the settings of a process without an adapter.
func checkStandalone(d *yamlx.Doc, s *Settings) {
	checkName(d, "name", s.Name)
	checkName(d, "dc", s.DC)
	checkName(d, "region", s.Region)
	checkName(d, "group", s.Group)
	checkAddresses(d, s)
	checkVoters(d, s)
	if s.KeyFile == "" {
		d.AddFault("keyfile", "is missing; name a file with at least %d random bytes, the same on all instances of the group", MinKeyBytes)
	}
	checkTimings(d, s.Timings)
	if s.MaxSessions < MinSessionLimit || s.MaxSessions > MaxSessionLimit {
		d.AddFault("sessions", "%d is not between %d and %d; set it within that", s.MaxSessions, MinSessionLimit, MaxSessionLimit)
	}
	checkTokens(d, s)
}

func checkName(d *yamlx.Doc, path, v string) {
	switch {
	case v == "":
		d.AddFault(path, "is missing; %s", nameHint)
	case !namePattern.MatchString(v):
		d.AddFault(path, "%q is not a name; %s", v, nameHint)
	}
}

// checkAddress returns the parsed address, or false after adding a fault when it is
// not an IP address with a port above 0.
func checkAddress(d *yamlx.Doc, path, v string) (netip.AddrPort, bool) {
	if v == "" {
		d.AddFault(path, "is missing; give an IP address and a port, such as 10.0.0.1:7000")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		d.AddFault(path, "%q is not an IP address and a port above 0; write it as 10.0.0.1:7000 or [fd00::1]:7000", v)
		return netip.AddrPort{}, false
	}
	return a, true
}

func checkAddresses(d *yamlx.Doc, s *Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, addr := range []struct {
		path, value string
		announced   bool
	}{
		{"addresses.link", s.Addresses.Link, true},
		{"addresses.front", s.Addresses.Front, true},
		{"addresses.local", s.Addresses.Local, false},
		{"addresses.admin", s.Addresses.Admin, false},
	} {
		a, ok := checkAddress(d, addr.path, addr.value)
		if !ok {
			continue
		}
		if addr.announced && a.Addr().IsUnspecified() {
			d.AddFault(addr.path, "%v is announced to others, who cannot connect to it; give the instance's own IP address", a)
		}
		if other, ok := seen[a]; ok {
			d.AddFault(addr.path, "%v is also %s; give each its own port", a, other)
			continue
		}
		seen[a] = addr.path
	}
	if a, err := netip.ParseAddrPort(s.Addresses.Local); err == nil && !a.Addr().IsLoopback() {
		d.AddFault("addresses.local", "%v is not a loopback address; the endpoint runs on the same instance, so use 127.0.0.1", a)
	}
	if a, err := netip.ParseAddrPort(s.Addresses.Admin); err == nil && !a.Addr().IsLoopback() && len(s.Tokens) == 0 {
		d.AddFault("addresses.admin", "%v can be reached from outside, and there are no tokens; add tokens or use 127.0.0.1", a)
	}
}

func checkVoters(d *yamlx.Doc, s *Settings) {
	if len(s.Voters) == 0 || len(s.Voters) > MaxContacts {
		d.AddFault("voters", "%d voters to contact; list at least one and at most %d with name and addr", len(s.Voters), MaxContacts)
	}
	names, addrs := make(map[string]bool), make(map[string]bool)
	self := -1
	for i, v := range s.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		checkName(d, path+".name", v.Name)
		checkAddress(d, path+".addr", v.Addr)
		if names[v.Name] && v.Name != "" {
			d.AddFault(path+".name", "%q is listed twice; remove one", v.Name)
		}
		if addrs[v.Addr] && v.Addr != "" {
			d.AddFault(path+".addr", "%s is listed twice; give each voter its own link address", v.Addr)
		}
		names[v.Name], addrs[v.Addr] = true, true
		if v.Name == s.Name {
			self = i
		}
	}
	if d.Has("voter") && s.Voter.Data == "" {
		d.AddFault("voter.data", "is missing; name the data folder made by init, or remove the voter section")
	}
	if self < 0 {
		return
	}
	path := fmt.Sprintf("voters[%d]", self)
	if s.Voter.Data == "" {
		d.AddFault(path, "this instance is listed as a voter but has no voter section; add voter.data or remove it from the list")
	}
	if s.Voters[self].Addr != s.Addresses.Link {
		d.AddFault(path+".addr", "%s is not this instance's addresses.link, %s; make them equal", s.Voters[self].Addr, s.Addresses.Link)
	}
}

func checkTimings(d *yamlx.Doc, t Timings) {
	for _, timing := range []struct {
		path  string
		value time.Duration
	}{
		{"timings.lease", t.Lease},
		{"timings.renew", t.Renew},
		{"timings.heartbeat", t.Heartbeat},
		{"timings.election", t.Election},
		{"timings.grace", t.Grace},
		{"timings.drain", t.Drain},
	} {
		if timing.value < MinInterval {
			d.AddFault(timing.path, "%v is shorter than %v; use a longer time", timing.value, MinInterval)
		}
	}
	if t.Lease < 2*t.Renew {
		d.AddFault("timings.lease", "%v is shorter than two renewals of %v, so one lost renewal ends it; use at least %v or renew more often", t.Lease, t.Renew, 2*t.Renew)
	}
	if t.Election < 3*t.Heartbeat {
		d.AddFault("timings.election", "%v is shorter than three heartbeats of %v, so two lost heartbeats cause an election; use at least %v", t.Election, t.Heartbeat, 3*t.Heartbeat)
	}
	if minLease := 2*t.Election + t.Renew; t.Lease < minLease {
		d.AddFault("timings.lease", "%v does not outlast an election of up to %v and a renewal of %v, so every loss of the leader would end all leases; use at least %v", t.Lease, 2*t.Election, t.Renew, minLease)
	}
	if t.Grace < 2*t.Renew {
		d.AddFault("timings.grace", "%v is shorter than two renewals of %v, so a healthy daemon would lose its lease at each ticket; use at least %v", t.Grace, t.Renew, 2*t.Renew)
	}
	if t.Grace+t.Lease > MaxInForceDelay {
		d.AddFault("timings.grace", "a ticket would be in force everywhere only after %v (grace and lease); keep them below %v together", t.Grace+t.Lease, MaxInForceDelay)
	}
	if t.Drain > MaxDrain {
		d.AddFault("timings.drain", "%v is longer than %v, after which a leaving endpoint gets no new work; use at most that", t.Drain, MaxDrain)
	}
}

func checkTokens(d *yamlx.Doc, s *Settings) {
	if len(s.Tokens) > MaxTokens {
		d.AddFault("tokens", "%d tokens are more than %d; remove some", len(s.Tokens), MaxTokens)
	}
	names := make(map[string]bool)
	for i, t := range s.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		checkName(d, path+".name", t.Name)
		if names[t.Name] && t.Name != "" {
			d.AddFault(path+".name", "%q is listed twice; rename one", t.Name)
		}
		names[t.Name] = true
		if t.File == "" {
			d.AddFault(path+".file", "is missing; name a file with at least %d random characters", MinTokenBytes)
		}
		switch {
		case t.Scope == "" && !d.Has(path+".scope"):
			d.AddFault(path+".scope", "is missing; give read, tickets or everything")
		case t.Scope == ScopeTickets && len(t.Services) == 0:
			d.AddFault(path+".services", "is missing; list the services that the token's tickets may name")
		case t.Scope != ScopeTickets && len(t.Services) > 0:
			d.AddFault(path+".services", "has no effect with scope %s; remove it or use scope tickets", t.Scope)
		}
	}
}
