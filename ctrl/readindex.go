package ctrl

import (
	"maps"
	"slices"

	"pollenlatch"
)

// pendingRead waits for a version that holds everything that was committed before
// it was asked.
type pendingRead struct {
	sentAt  pollenlatch.MonoTime
	version pollenlatch.Version // 0 until the leader has told it
}

func (h *holder) startRead(id uint64) {
	if h.pendingReads == nil {
		h.pendingReads = make(map[uint64]*pendingRead)
	}
	h.pendingReads[id] = &pendingRead{sentAt: h.now}
	h.sendReadIndex(id)
}

func (h *holder) sendReadIndex(id uint64) {
	h.send(h.requestAddr(), &pollenlatch.Message{ReadIndex: &pollenlatch.ReadIndex{Seq: id ^ h.seqMask()}})
}

// retryReads repeats the questions that the leader has not answered.
func (h *holder) retryReads() {
	for _, id := range slices.Sorted(maps.Keys(h.pendingReads)) {
		r := h.pendingReads[id]
		if r.version == 0 && h.now.Sub(r.sentAt) >= retryInterval {
			r.sentAt = h.now
			h.sendReadIndex(id)
		}
	}
}

func (h *holder) onReadIndexReply(m *pollenlatch.ReadIndexReply) {
	if r, ok := h.pendingReads[m.Seq^h.seqMask()]; ok && m.Version != 0 {
		r.version = m.Version
		h.completeReads()
	}
}

// completeReads answers the questions whose version this process holds.
func (h *holder) completeReads() {
	for _, id := range slices.Sorted(maps.Keys(h.pendingReads)) {
		if r := h.pendingReads[id]; r.version != 0 && r.version <= h.state.Version() {
			delete(h.pendingReads, id)
			h.emit(ReadIndexReached{ID: id})
		}
	}
}

func (v *voter) onReadIndex(from string, m *pollenlatch.ReadIndex) {
	reply := &pollenlatch.ReadIndexReply{Seq: m.Seq}
	if v.canGrant() {
		reply.Version = v.state.Version()
	}
	v.reply(from, &pollenlatch.Message{ReadIndexReply: reply})
}
