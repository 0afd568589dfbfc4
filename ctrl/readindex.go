package ctrl

import (
	"maps"
	"slices"

	"pollenlatch"
)

// question waits for a version that holds everything that was committed before
// it was asked.
type question struct {
	sentAt  pollenlatch.MonoTime
	version pollenlatch.Version // 0 until the leader has told it
}

func (h *holder) ask(id uint64) {
	if h.questions == nil {
		h.questions = make(map[uint64]*question)
	}
	h.questions[id] = &question{sentAt: h.now}
	h.sendAsk(id)
}

func (h *holder) sendAsk(id uint64) {
	h.send(h.contact(), &pollenlatch.Message{ReadIndex: &pollenlatch.ReadIndex{Seq: id ^ h.seqMask()}})
}

// askAgain repeats the questions that the leader has not answered.
func (h *holder) askAgain() {
	for _, id := range slices.Sorted(maps.Keys(h.questions)) {
		q := h.questions[id]
		if q.version == 0 && h.now.Sub(q.sentAt) >= submitRetry {
			q.sentAt = h.now
			h.sendAsk(id)
		}
	}
}

func (h *holder) told(m *pollenlatch.ReadIndexReply) {
	if q, ok := h.questions[m.Seq^h.seqMask()]; ok && m.Version != 0 {
		q.version = m.Version
		h.checkQuestions()
	}
}

// checkQuestions answers the questions whose version this process holds.
func (h *holder) checkQuestions() {
	for _, id := range slices.Sorted(maps.Keys(h.questions)) {
		if q := h.questions[id]; q.version != 0 && q.version <= h.state.Version() {
			delete(h.questions, id)
			h.do(ReadIndexReached{ID: id})
		}
	}
}

func (v *voter) onAsk(from string, m *pollenlatch.ReadIndex) {
	told := &pollenlatch.ReadIndexReply{Seq: m.Seq}
	if v.canGrant() {
		told.Version = v.state.Version()
	}
	v.reply(from, &pollenlatch.Message{ReadIndexReply: told})
}
