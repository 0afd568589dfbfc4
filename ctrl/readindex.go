package ctrl

import (
	"maps"
	"slices"

	"pollenlatch"
)

// pendingRead is a read index request that has not completed. It completes when
// the local state has reached the version that the leader returned.
type pendingRead struct {
	sentAt  pollenlatch.MonoTime
	version pollenlatch.Version // 0 until the leader has replied
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

// retryReads sends again the requests that the leader has not replied to.
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

// completeReads completes the requests whose version the local state has reached.
func (h *holder) completeReads() {
	for _, id := range slices.Sorted(maps.Keys(h.pendingReads)) {
		if r := h.pendingReads[id]; r.version != 0 && r.version <= h.state.Version() {
			delete(h.pendingReads, id)
			h.emit(ReadIndexReached{ID: id})
		}
	}
}

// onReadIndex replies with the version of the state. canGrant confirms with a
// majority that no other leader can have committed anything newer.
func (v *voter) onReadIndex(from string, m *pollenlatch.ReadIndex) {
	reply := &pollenlatch.ReadIndexReply{Seq: m.Seq}
	if v.canGrant() {
		reply.Version = v.state.Version()
	}
	v.reply(from, &pollenlatch.Message{ReadIndexReply: reply})
}
