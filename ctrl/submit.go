package ctrl

import (
	"maps"
	"slices"

	"pollenlatch"
)

// submission is a ticket or change that has no verdict yet.
type submission struct {
	ticket   pollenlatch.Ticket
	change   *pollenlatch.ConfigChange
	evacuate *pollenlatch.Evacuate
	sentAt   pollenlatch.MonoTime
}

func (h *holder) submit(e Submitted) {
	if h.submissions == nil {
		h.submissions = make(map[uint64]*submission)
	}
	h.submissions[e.ID] = &submission{ticket: e.Ticket, change: e.Change, evacuate: e.Evacuate, sentAt: h.now}
	h.sendProposal(e.ID, h.submissions[e.ID])
}

func (h *holder) sendProposal(id uint64, s *submission) {
	m := &pollenlatch.Propose{Seq: id ^ h.seqMask(), Ticket: s.ticket, Change: s.change}
	if s.evacuate != nil {
		order := *s.evacuate
		order.ID, order.Known = m.Seq, h.state.Version()
		m.Evacuate = &order
	}
	h.send(h.requestAddr(), &pollenlatch.Message{Propose: m})
}

// seqMask distinguishes the sequence numbers of this process from those of an
// earlier process of the same name, whose replies may still arrive.
func (h *holder) seqMask() uint64 {
	if h.injected.noSeqMask {
		return 0
	}
	return uint64(h.cfg.Self.Incarnation)
}

func (h *holder) resubmit() {
	for _, id := range slices.Sorted(maps.Keys(h.submissions)) {
		s := h.submissions[id]
		if h.now.Sub(s.sentAt) >= retryInterval {
			s.sentAt = h.now
			h.sendProposal(id, s)
		}
	}
}

func (h *holder) onProposeReply(reply *pollenlatch.ProposeReply) {
	id := reply.Seq ^ h.seqMask()
	if _, ok := h.submissions[id]; !ok || reply.Verdict.Retry {
		return
	}
	delete(h.submissions, id)
	h.emit(DeliverVerdict{ID: id, Verdict: reply.Verdict})
}
