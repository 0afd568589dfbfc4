package state

import (
	"crypto/sha256"
	"slices"

	"pollenlatch"
)

// Limits on the history of tickets. At 10,000 tickets a day the records cover a
// day and a half, far longer than an operator waits before sending a ticket
// again, and take about 2 MB.
const (
	MaxTicketRecords   = 1 << 14 // number of the newest tickets whose records are kept
	MaxTicketTexts     = 256     // number of the newest tickets whose texts are kept
	MaxTicketTextBytes = 1 << 20 // size of all kept texts together
	MaxTicketBytes     = 1 << 18 // size of one ticket's text
)

// TicketRecord is the record of a decided ticket.
type TicketRecord struct {
	Number     uint64              `json:"number"`
	Text       string              `json:"text,omitempty"` // empty when it is no longer kept
	TextHash   string              `json:"-"`              // first textHashBytes of the text's SHA-256
	Sender     string              `json:"sender"`
	ReceivedAt int64               `json:"at"` // Unix milliseconds
	Verdict    pollenlatch.Verdict `json:"verdict"`
}

// textHashBytes is the length of a text's hash. It is large enough that finding
// two texts with the same hash is infeasible.
const textHashBytes = 16

func hashText(text string) string {
	sum := sha256.Sum256([]byte(text))
	return string(sum[:textHashBytes])
}

// ticketHistory holds the records of decided tickets. Records beyond the newest
// MaxTicketRecords are dropped a page at a time, texts one at a time.
type ticketHistory struct {
	records    vector[TicketRecord] // by number; without texts
	lastNumber uint64               // number of the last decided ticket
	texts      []string             // of the newest tickets, in order of their numbers; ends with lastNumber
	textBytes  int                  // total size of texts
}

// firstKept returns the lowest number whose record is kept, or 1 when there is
// none.
func (h ticketHistory) firstKept() uint64 {
	if h.lastNumber < MaxTicketRecords {
		return 1
	}
	return max(1, (h.lastNumber-MaxTicketRecords+1)&^uint64(pageMask))
}

// record returns the record of a ticket, with its text if that is kept.
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

// withRecord returns a copy that also holds the record of the next ticket.
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

// Ticket returns the record of a decided ticket. ok is false when no such ticket
// was decided, or its record is no longer kept.
func (s *State) Ticket(number uint64) (r TicketRecord, ok bool) { return s.tickets.record(number) }

// Tickets returns up to n records of decided tickets with numbers below before,
// newest first. If before is 0 it starts with the newest ticket.
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
