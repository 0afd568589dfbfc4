package ctrl

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pollenlatch"
)

// evacuatePurpose begins the purposes of proposals that order evacuations.
const evacuatePurpose = "evacuate "

// onEvacuate decides on an order to evacuate a data centre, or to end that. An order
// that is in force gets its verdict without a log entry, unless another one is pending,
// which may change that.
func (v *voter) onEvacuate(from string, p *pollenlatch.Propose, reply func(pollenlatch.Verdict)) {
	e := p.Evacuate
	if err := e.Check(); err != nil {
		reply(pollenlatch.Verdict{Faults: []string{err.Error()}})
		return
	}
	switch inForce := v.state.Evacuated(e.DC) != e.Finish; {
	case inForce && !v.evacuationPending():
		reply(pollenlatch.Verdict{Accepted: true, Version: v.state.Version()})
		return
	case !inForce && e.Known < v.state.EvacuationsChangedAt():
		reply(pollenlatch.Verdict{Retry: true}) // the sender has not received the newest order yet
		return
	}
	e.ID = p.Seq
	key := evacuateKey(e)
	v.verdictWaiters[key] = append(v.verdictWaiters[key], verdictWaiter{name: from, seq: p.Seq})
	v.proposeOnce(fmt.Sprintf("%s%d", evacuatePurpose, e.ID), &pollenlatch.Command{Evacuate: e})
}

// evacuationPending reports whether an order was proposed that is not applied yet.
func (v *voter) evacuationPending() bool {
	for purpose := range v.unapplied {
		if strings.HasPrefix(purpose, evacuatePurpose) {
			return true
		}
	}
	return false
}

// evacuateKey returns the key of an order. Its text distinguishes it from tickets and
// configuration changes.
func evacuateKey(e *pollenlatch.Evacuate) submissionKey {
	return submissionKey{number: e.ID, text: "evacuate"}
}

// updateEvacuations updates evacuatedSince by the state. The time of an evacuation is
// that of the newest renewal whose reply did not show it yet, so it is never later than
// the acknowledgement of the order, also in a process that was cut off meanwhile. A
// process that starts in an evacuated data centre counts from the start of the machine.
func (h *holder) updateEvacuations() {
	if h.evacuationsAt == h.state.EvacuationsChangedAt() {
		return
	}
	h.evacuationsAt = h.state.EvacuationsChangedAt()
	before := h.evacuatedSince
	h.evacuatedSince = make(map[string]pollenlatch.MonoTime)
	for _, dc := range h.state.EvacuatedDCs() {
		since, known := before[dc]
		if !known {
			since = max(h.upToDateAt, 1)
			h.logf("evacuation of a data centre has started", "dc", dc, "version", h.evacuationsAt, "countedFromMs", h.now.Sub(since).Milliseconds())
		}
		h.evacuatedSince[dc] = since
	}
	for _, dc := range slices.Sorted(maps.Keys(before)) {
		if _, still := h.evacuatedSince[dc]; !still {
			h.logf("evacuation of a data centre has ended", "dc", dc, "version", h.evacuationsAt)
		}
	}
}
