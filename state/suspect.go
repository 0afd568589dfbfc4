package state

import (
	"fmt"
	"slices"

	"pollenlatch"
)

const (
	// MaxSuspects is the maximum number of suspects. The one with the fewest strikes
	// that got its last one first makes room for another.
	MaxSuspects = 512
	// maxCountedServers is how many servers that have ended are remembered, so that
	// a report that is sent again counts once.
	maxCountedServers = 256
	// MaxCrashItems is the maximum length of the lists of a Crash.
	MaxCrashItems = 64
)

// suspectSet holds the suspects. It is immutable.
type suspectSet struct {
	list    []pollenlatch.Suspect // the one with the newest strike is last
	byHead  map[uint64][]pollenlatch.Suspect
	counted []pollenlatch.Incarnation // servers that have been counted, the newest last
}

func newSuspectSet(list []pollenlatch.Suspect, counted []pollenlatch.Incarnation) *suspectSet {
	s := &suspectSet{list: list, byHead: make(map[uint64][]pollenlatch.Suspect, len(list)), counted: counted}
	for _, x := range list {
		s.byHead[x.Head] = append(s.byHead[x.Head], x)
	}
	return s
}

// HasSuspects implements pollenlatch.SuspectView.
func (s *State) HasSuspects() bool { return s.suspects != nil && len(s.suspects.list) > 0 }

// Suspects implements pollenlatch.SuspectView.
func (s *State) Suspects(head uint64) []pollenlatch.Suspect {
	if s.suspects == nil {
		return nil
	}
	return s.suspects.byHead[head]
}

// SameSuspects reports whether two states have the same suspects.
func (s *State) SameSuspects(o *State) bool { return s.suspects == o.suspects }

// Quarantined returns the suspects that are quarantined.
func (s *State) Quarantined() []pollenlatch.Suspect {
	var list []pollenlatch.Suspect
	if s.suspects == nil {
		return nil
	}
	for _, x := range s.suspects.list {
		if x.Quarantined() {
			list = append(list, x)
		}
	}
	return list
}

// IsRecorded reports whether the state shows the effect of a Crash.
func (s *State) IsRecorded(c pollenlatch.Crash) bool {
	if s.suspects == nil {
		return c.Server == 0
	}
	if c.Server != 0 && !slices.Contains(s.suspects.counted, c.Server) {
		return false
	}
	return !slices.ContainsFunc(s.suspects.list, func(x pollenlatch.Suspect) bool { return slices.Contains(c.Cleared, x.Fingerprint) })
}

// crash applies a Crash.
func (d *draft) crash(c *pollenlatch.Crash) {
	if len(c.Requests) > MaxCrashItems || len(c.Cleared) > MaxCrashItems || len(c.Probation) > MaxSuspects {
		d.result.Rejection = "a list of requests is too long"
		return
	}
	old := d.suspects
	if old == nil {
		old = &suspectSet{}
	}
	list, counted := slices.Clone(old.list), old.counted
	if c.Server != 0 {
		if slices.Contains(counted, c.Server) {
			d.result.Rejection = fmt.Sprintf("the end of server %d has been counted", c.Server)
			return
		}
		counted = append(slices.Clone(counted), c.Server)
		counted = counted[max(0, len(counted)-maxCountedServers):]
		for _, f := range c.Requests {
			list = addStrike(list, f)
		}
	}
	list = slices.DeleteFunc(list, func(x pollenlatch.Suspect) bool { return slices.Contains(c.Cleared, x.Fingerprint) })
	for n := range list {
		if list[n].Quarantined() && slices.Contains(c.Probation, list[n].Fingerprint) {
			list[n].Strikes = pollenlatch.MaxStrikes - 1
			list[n].Ended++
		}
	}
	d.suspects = newSuspectSet(list, counted)
}

// addStrike adds a strike to a request and makes it the last of the list.
func addStrike(list []pollenlatch.Suspect, f pollenlatch.Fingerprint) []pollenlatch.Suspect {
	x := pollenlatch.Suspect{Fingerprint: f}
	if n := slices.IndexFunc(list, func(x pollenlatch.Suspect) bool { return x.Fingerprint == f }); n >= 0 {
		x = list[n]
		list = slices.Delete(list, n, n+1)
	}
	x.Strikes = min(x.Strikes+1, pollenlatch.MaxStrikes)
	if len(list) >= MaxSuspects {
		fewest := 0
		for n := range list {
			if list[n].Strikes < list[fewest].Strikes {
				fewest = n
			}
		}
		list = slices.Delete(list, fewest, fewest+1)
	}
	return append(list, x)
}
