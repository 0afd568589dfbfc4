package conf

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"pollenlatch/yamlx"
)

// AdapterPlatform is the only adapter.
const AdapterPlatform = "platform"

// Times of a deployment whose servers fetch their grants by heartbeats. The
// lease follows from the interval of the heartbeats; see TimingsFor.
const (
	// leaseBeats and leaseSlack let a lease, and with it the server's hold,
	// outlast two heartbeats of which the second comes late.
	leaseBeats = 2.5
	leaseSlack = 250 * time.Millisecond
	// leastLease lets a lease outlast the loss of the leader: an election takes
	// up to 1 s, and daemons need to find the new leader.
	leastLease = 3 * time.Second
	// meshRenew keeps the load of 100 daemons on the leader at 300 messages/s.
	meshRenew     = 300 * time.Millisecond
	meshHeartbeat = 100 * time.Millisecond
	// meshElection lets five heartbeats be lost or late: voters share small
	// processors with other work.
	meshElection = 500 * time.Millisecond
	meshGrace    = 2 * time.Second
	// meshDrain is for platforms that do not say when they kill a process that was
	// told to end.
	meshDrain = 5 * time.Second
	// endTime is left of the platform's grace for the end of the process after the
	// drain: closing connections and flushing the log, on a share of a core.
	endTime = 400 * time.Millisecond
)

// TimingsFor returns the times of a deployment whose servers send heartbeats at
// an interval.
func TimingsFor(beat time.Duration) Timings {
	return Timings{
		Lease:     max(leastLease, time.Duration(leaseBeats*float64(beat))+leaseSlack),
		Renew:     meshRenew,
		Heartbeat: meshHeartbeat,
		Election:  meshElection,
		Grace:     meshGrace,
		Drain:     meshDrain,
	}
}

// adapt checks the settings of a process behind an adapter, and fills in what
// follows from them.
func adapt(d *yamlx.Doc, s *Settings) {
	if s.Adapter != AdapterPlatform {
		d.AddFault("adapter", "%q is not known; leave it out or use %s", s.Adapter, AdapterPlatform)
		return
	}
	name(d, "name", s.Name)
	name(d, "dc", s.DC)
	name(d, "group", s.Group)
	link, ok := address(d, "addresses.link", s.Addresses.Link)
	for _, at := range []struct{ path, value string }{
		{"addresses.front", s.Addresses.Front},
		{"addresses.control", s.Addresses.Control},
		{"addresses.ready", s.Addresses.Ready},
		{"addresses.metrics", s.Addresses.Metrics},
		{"server", s.Server},
	} {
		if at.value != "" {
			address(d, at.path, at.value)
		}
	}
	if s.Addresses.Control == "" {
		d.AddFault("addresses.control", "is missing; give the address for heartbeats and operators")
	}
	if s.Addresses.Front != "" && (s.Service == "" || s.Server == "") {
		d.AddFault("service", "callers are served but the server beside this process is not named; give service and server")
	}
	if s.HeartbeatInterval <= 0 {
		d.AddFault("beat", "is missing; give the interval of the servers' heartbeats")
	}
	if len(s.Seeds) == 0 || len(s.Seeds) > MaxContacts {
		d.AddFault("seeds", "%d addresses to contact; give 1 to %d", len(s.Seeds), MaxContacts)
	}
	if ok {
		s.Voters = contacts(d, s.Seeds, link)
	}
	if !d.Has("timings") {
		s.Timings = TimingsFor(s.HeartbeatInterval)
		if grace := s.PlatformLimits.KillGrace; grace > 0 {
			s.Timings.Drain = max(grace-endTime, grace/2)
		}
	}
}

// contacts returns the voters at the hosts of the seeds. A voter is named by its
// host, and listens for links at the same port everywhere.
func contacts(d *yamlx.Doc, seeds []string, link netip.AddrPort) []Contact {
	var list []Contact
	for n, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			d.AddFault("seeds["+strconv.Itoa(n)+"]", "%q is not an address with a port", seed)
			continue
		}
		list = append(list, Contact{Name: host, Addr: net.JoinHostPort(host, strconv.Itoa(int(link.Port())))})
	}
	return list
}
