package conf

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"pollenlatch/yamlx"
)

// AdapterPlatform is the only value of Settings.Adapter besides "".
const AdapterPlatform = "platform"

// Timings of a deployment whose servers receive their grants by heartbeats. The
// duration of a lease depends on the heartbeat interval; see TimingsFor.
const (
	// leaseHeartbeats, in heartbeat intervals, and leaseMargin let a lease, and with
	// it the server's grants, outlast two heartbeats of which the second is late.
	leaseHeartbeats = 2.5
	leaseMargin     = 250 * time.Millisecond
	// minLease lets a lease outlast the loss of the leader: an election takes up to
	// 1 s, and then daemons must find the new leader.
	minLease = 3 * time.Second
	// platformRenew limits the load that 100 daemons put on the leader to 300
	// messages/s.
	platformRenew     = 300 * time.Millisecond
	platformHeartbeat = 100 * time.Millisecond
	// platformElection tolerates five lost or late heartbeats of the leader, since
	// voters share small processors with other processes.
	platformElection = 500 * time.Millisecond
	platformGrace    = 2 * time.Second
	// platformDrain is used when the platform's grace period for a stopping process
	// is not set.
	platformDrain = 5 * time.Second
	// exitTime is the part of the platform's grace period that is reserved for the
	// exit of the process after the drain: closing connections and flushing the log
	// on a share of a core.
	exitTime = 400 * time.Millisecond
)

// TimingsFor returns the timings of a deployment whose servers send heartbeats at
// the given interval.
func TimingsFor(heartbeatInterval time.Duration) Timings {
	return Timings{
		Lease:     max(minLease, time.Duration(leaseHeartbeats*float64(heartbeatInterval))+leaseMargin),
		Renew:     platformRenew,
		Heartbeat: platformHeartbeat,
		Election:  platformElection,
		Grace:     platformGrace,
		Drain:     platformDrain,
	}
}

// checkPlatform checks the settings of a process with an adapter, and derives its
// voters and timings.
func checkPlatform(d *yamlx.Doc, s *Settings) {
	if s.Adapter != AdapterPlatform {
		d.AddFault("adapter", "%q is not a known adapter; leave it out or use %s", s.Adapter, AdapterPlatform)
		return
	}
	checkName(d, "name", s.Name)
	checkName(d, "dc", s.DC)
	checkName(d, "group", s.Group)
	link, linkOK := checkAddress(d, "addresses.link", s.Addresses.Link)
	for _, addr := range []struct{ path, value string }{
		{"addresses.front", s.Addresses.Front},
		{"addresses.control", s.Addresses.Control},
		{"addresses.ready", s.Addresses.Ready},
		{"addresses.metrics", s.Addresses.Metrics},
		{"server", s.ServerAddr},
	} {
		if addr.value != "" {
			checkAddress(d, addr.path, addr.value)
		}
	}
	if s.Addresses.Control == "" {
		d.AddFault("addresses.control", "is missing; give the address for heartbeats and operators")
	}
	if s.Addresses.Front != "" && (s.Service == "" || s.ServerAddr == "") {
		d.AddFault("service", "addresses.front is set but the local server is not; give service and server")
	}
	if s.HeartbeatInterval <= 0 {
		d.AddFault("beat", "is missing; give the interval of the servers' heartbeats")
	}
	if len(s.Seeds) == 0 || len(s.Seeds) > MaxContacts {
		d.AddFault("seeds", "%d addresses to contact; give 1 to %d", len(s.Seeds), MaxContacts)
	}
	if linkOK {
		s.Voters = seedVoters(d, s.Seeds, link)
	}
	if !d.Has("timings") {
		s.Timings = TimingsFor(s.HeartbeatInterval)
		if grace := s.PlatformLimits.KillGrace; grace > 0 {
			s.Timings.Drain = max(grace-exitTime, grace/2)
		}
	}
}

// seedVoters returns the voters at the hosts of the seeds. Each voter is named
// after its host, and its link address has the same port as this process's.
func seedVoters(d *yamlx.Doc, seeds []string, link netip.AddrPort) []Contact {
	var list []Contact
	for i, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			d.AddFault("seeds["+strconv.Itoa(i)+"]", "%q is not an address with a port", seed)
			continue
		}
		list = append(list, Contact{Name: host, Addr: net.JoinHostPort(host, strconv.Itoa(int(link.Port())))})
	}
	return list
}
