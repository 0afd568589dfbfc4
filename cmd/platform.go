package cmd

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/conf"
	"pollenlatch/ctrl"
	"pollenlatch/daemon"
	"pollenlatch/platform/wire"
	"pollenlatch/store"
)

// platformTick is the tick interval of the control loop on the platform, whose
// processors are small: each tick costs a wake-up.
const platformTick = 25 * time.Millisecond

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1e6 / 8

// platformKey replaces the shared key: the platform provides no secrets, and only
// our own processes can connect to its internal ports.
const platformKey = "pollenlatch: no key is shared on this platform"

// platformConfig returns the configuration of a process that uses the adapter to
// the users' platform, and the port that the platform calls.
func platformConfig(s conf.Settings) (daemon.Config, *wire.Server, error) {
	cfg := daemon.Config{
		Name: s.Name, DC: s.DC, Group: s.Group, Region: s.Region,
		Key: []byte(platformKey), Link: s.Addresses.Link, Front: s.Addresses.Front,
		MaxSessions: int(s.MaxSessions),
		Metrics:     s.Addresses.Metrics,
		Bandwidth:   s.LinkMbits * bytesPerMbit,
		Timing: ctrl.Timing{
			Lease: s.Timings.Lease, Renew: s.Timings.Renew, Heartbeat: s.Timings.Heartbeat,
			Election: s.Timings.Election, Grace: s.Timings.Grace, Drain: s.Timings.Drain,
		},
		DrainTimeout: s.Timings.Drain,
		TickInterval: platformTick,
		Platform: &daemon.Platform{
			Headers: wire.Headers(), LocalService: s.Service, LocalAddr: s.ServerAddr, HeartbeatInterval: s.HeartbeatInterval, MaxGrantTTL: s.PlatformLimits.MaxGrantTTL, MaxRangesBytes: wire.MaxRangesBytes,
			RetryBudget: retryBudget(s.PlatformLimits), EvacuationTime: s.PlatformLimits.Evacuation,
		},
	}
	cfg.Voters = contactsToMembers(s.Voters)
	port := new(wire.Server)
	cfg.ExtraListeners = append(cfg.ExtraListeners, daemon.Listener{Name: "control", Addr: s.Addresses.Control, Serve: port.Serve})
	if s.Addresses.Ready != "" {
		cfg.ExtraListeners = append(cfg.ExtraListeners, daemon.Listener{Name: "ready", Addr: s.Addresses.Ready, Serve: port.Serve})
	}
	if s.Voter.Data == "" {
		return cfg, port, nil
	}
	cfg.GroupSize = int(2*s.MaxLostVoters + 1)
	var err error
	cfg.Voter, err = openPlatformVoter(s, cfg.Voters)
	return cfg, port, err
}

const (
	// retryShareUsed is the share of the platform's limit on retries that daemons
	// use. The rest is for the nested requests of retried requests, which count as
	// retries at the services that they go to.
	retryShareUsed = 0.5
	// retryBurstDaemons is the number of daemons that may spend their saved retries in
	// the same window.
	retryBurstDaemons = 20
)

// retryBudget returns the retry budget of one daemon.
func retryBudget(b conf.PlatformLimits) daemon.RetryBudget {
	return daemon.RetryBudget{
		Ratio: retryShareUsed * b.RetryRatio,
		Burst: max(1, retryShareUsed*b.RetryBurst/retryBurstDaemons),
	}
}

// openPlatformVoter opens the data folder of a voter, and gives it an identity if it
// is empty. At the first start of a deployment the voters in the settings form the
// group.
func openPlatformVoter(s conf.Settings, contacts []pollenlatch.Member) (*daemon.Voter, error) {
	if err := os.MkdirAll(s.Voter.Data, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	if _, err := store.Init(store.Dir(s.Voter.Data), s.Name); err != nil && !errors.Is(err, store.ErrNotEmpty) {
		return nil, fmt.Errorf("data folder %s: %w", s.Voter.Data, err)
	}
	var genesis []pollenlatch.Member
	isFounder := slices.ContainsFunc(contacts, func(m pollenlatch.Member) bool { return m.Name == s.Name })
	if s.Voter.First && isFounder {
		genesis = contacts
	}
	return daemon.OpenVoter(s.Voter.Data, s.Name, s.Addresses.Link, genesis)
}

// connectPlatform connects the port that the platform calls to a daemon.
func connectPlatform(p *wire.Server, d *daemon.Daemon, s conf.Settings) {
	if s.Addresses.Front != "" {
		p.Heartbeats = d.HeartbeatHandler()
		p.Ready = d.Ready
		return
	}
	p.Config, p.Evacuator = d.ConfigStore(), d.Evacuator()
}
