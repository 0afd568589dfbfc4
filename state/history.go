package state

import (
	"crypto/sha256"
	"slices"

	"pollenlatch"
)

// Bounds of the history of tickets. At 10,000 tickets a day the records reach
// back a day and a half, far longer than an operator waits before sending a
// ticket again, and take about 2 MB.
const (
	MaxTicketRecords   = 1 << 14 // newest tickets whose record is kept
	MaxTicketTexts     = 256     // newest tickets whose text is kept
	MaxTicketTextBytes = 1 << 20 // of all kept texts together
	MaxTicketBytes     = 1 << 18 // bytes of one ticket
)

// TicketRecord is what the state keeps of a decided ticket.
type TicketRecord struct {
	Number     uint64              `json:"number"`
	Text       string              `json:"text,omitempty"` // empty when it is no longer kept
	TextHash   string              `json:"-"`              // first 16 bytes of the text's SHA-256
	Sender     string              `json:"sender"`
	ReceivedAt int64               `json:"at"` // Unix milliseconds
	Verdict    pollenlatch.Verdict `json:"verdict"`
}

// sumBytes makes it infeasible to find two texts with the same sum.
const textHashBytes = 16

func hashText(text string) string {
	sum := sha256.Sum256([]byte(text))
	return string(sum[:textHashBytes])
}

// history holds the records of decided tickets. Records of tickets older than
// MaxTicketRecords are dropped a page at a time, texts one at a time.
type ticketHistory struct {
	records    vector[TicketRecord] // by number; without texts
	lastNumber uint64               // number of the last decided ticket
	texts      []string             // of the tickets up to last, without gaps
	textBytes  int                  // of texts
}

// first returns the lowest number whose record is kept, or 1.
func (h ticketHistory) firstKept() uint64 {
	if h.lastNumber < MaxTicketRecords {
		return 1
	}
	return max(1, (h.lastNumber-MaxTicketRecords+1)&^uint64(pageMask))
}

// get returns the record of a ticket, with its text if it is kept.
func (h ticketHistory) record(number uint64) (TicketRecord, bool) {
	r := h.records.get(number)
	if r == nil {
		return TicketRecord{}, false
	}
	c := *r
	if age := h.lastNumber - number; age < uint64(len(h.texts)) {
		c.Text = h.texts[uint64(len(h.texts))-1-age]
	}
	return c, true
}

// with returns a history that also holds the next ticket.
func (h ticketHistory) withRecord(r TicketRecord) ticketHistory {
	text := r.Text
	r.Text = ""
	h.lastNumber = r.Number
	h.records = h.records.with(r.Number, &r).withoutPagesBefore(h.firstKept())
	h.texts = append(slices.Clone(h.texts), text)
	h.textBytes += len(text)
	for len(h.texts) > MaxTicketTexts || h.textBytes > MaxTicketTextBytes {
		h.textBytes -= len(h.texts[0])
		h.texts = h.texts[1:]
	}
	return h
}

// NextTicket returns the next free ticket number.
func (s *State) NextTicket() uint64 { return s.tickets.lastNumber + 1 }

// Ticket returns the record of a decided ticket. ok is false when there is
// none, or when it is so old that its record is no longer kept.
func (s *State) Ticket(number uint64) (r TicketRecord, ok bool) { return s.tickets.record(number) }

// Tickets returns up to n records of decided tickets with numbers below
// before, newest first. Before 0 starts at the newest.
func (s *State) Tickets(before uint64, n int) []TicketRecord {
	if before == 0 || before > s.NextTicket() {
		before = s.NextTicket()
	}
	var list []TicketRecord
	for number := before - 1; number > 0 && len(list) < n; number-- {
		r, ok := s.Ticket(number)
		if !ok {
			break
		}
		list = append(list, r)
	}
	return list
}
