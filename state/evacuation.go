package state

import (
	"fmt"
	"slices"

	"pollenlatch"
)

// MaxEvacuations limits the data centres that are evacuated at the same time.
const MaxEvacuations = 1024

// evacuationSet is the set of evacuated data centres. It is immutable.
type evacuationSet struct {
	dcs       []string            // sorted
	changedAt pollenlatch.Version // of the newest change
}

func (e evacuationSet) has(dc string) bool {
	_, ok := slices.BinarySearch(e.dcs, dc)
	return ok
}

// Evacuated reports whether a data centre is evacuated.
func (s *State) Evacuated(dc string) bool { return s.evacuations.has(dc) }

// EvacuatedDCs returns the evacuated data centres, sorted. The result must not be
// changed.
func (s *State) EvacuatedDCs() []string { return s.evacuations.dcs }

// EvacuationsChangedAt returns the version at which the set of evacuated data centres
// changed last, or 0.
func (s *State) EvacuationsChangedAt() pollenlatch.Version { return s.evacuations.changedAt }

// evacuate applies an order. One that is in force already changes nothing and is
// accepted.
func (d *draft) evacuate(e *pollenlatch.Evacuate) {
	old := d.evacuations
	n, found := slices.BinarySearch(old.dcs, e.DC)
	verdict := pollenlatch.Verdict{Version: d.version}
	d.result.Verdict = &verdict
	if err := e.Check(); err != nil {
		d.rejectEvacuation(err.Error())
		return
	}
	switch {
	case found != e.Finish:
		verdict.Accepted = true
		return
	case e.Known < old.changedAt:
		verdict.Retry = true
		d.result.Rejection = fmt.Sprintf("order was sent at version %d, before the change at version %d", e.Known, old.changedAt)
		return
	case !e.Finish && len(old.dcs) >= MaxEvacuations:
		d.rejectEvacuation(fmt.Sprintf("%d data centres are evacuated already", len(old.dcs)))
		return
	}
	dcs := slices.Clone(old.dcs)
	if e.Finish {
		dcs = slices.Delete(dcs, n, n+1)
	} else {
		dcs = slices.Insert(dcs, n, e.DC)
	}
	d.evacuations = evacuationSet{dcs: dcs, changedAt: d.version}
	verdict.Accepted = true
	d.updateInstancesOf(e.DC)
}

func (d *draft) rejectEvacuation(reason string) {
	d.result.Verdict.Faults = []string{reason}
	d.result.Rejection = reason
}

// updateInstancesOf updates the instances of a data centre after its evacuation has
// started or ended. The lists of endpoints keep their IDs, so each is replaced once.
func (d *draft) updateInstancesOf(dc string) {
	evacuated := d.evacuations.has(dc)
	services := make(map[string]bool)
	d.instances = d.instances.replaced(func(i *instance) *instance {
		if i.DC != dc {
			return i
		}
		c := *i
		c.Evacuated = evacuated
		if service := listedService(&c); service != "" {
			services[service] = true
		}
		return &c
	})
	if len(services) == 0 {
		return
	}
	d.endpointsByService = cloneMap(d.endpointsByService)
	for service := range services {
		d.endpointsByService[service] = &endpointList{ids: d.endpointsByService[service].ids}
	}
}

// loadEvacuations adds the evacuated data centres of a snapshot to a state that is not
// shared yet.
func (s *State) loadEvacuations(msg *snapshotProto) error {
	if len(msg.EvacuatedDCs) > MaxEvacuations || msg.EvacuatedAt > s.version || (len(msg.EvacuatedDCs) > 0 && msg.EvacuatedAt == 0) {
		return fmt.Errorf("%d evacuated data centres since version %d, with the state at version %d", len(msg.EvacuatedDCs), msg.EvacuatedAt, s.version)
	}
	for n, dc := range msg.EvacuatedDCs {
		if err := (&pollenlatch.Evacuate{DC: dc}).Check(); err != nil || (n > 0 && dc <= msg.EvacuatedDCs[n-1]) {
			return fmt.Errorf("evacuated data centre %q has an invalid name, or is out of order", dc)
		}
	}
	s.evacuations = evacuationSet{dcs: msg.EvacuatedDCs, changedAt: msg.EvacuatedAt}
	return nil
}
