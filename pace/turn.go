package pace

import (
	"context"

	"pollenlatch"
)

// NewTransfer returns the turn of an answer to a request on a network link, with the
// length of its body; -1 is unknown. Only long answers wait for turns. Short ones
// go first, and their bytes are counted. A nil pacer has no bound.
func NewTransfer(p pollenlatch.Pacer, r *pollenlatch.Request, length int64) pollenlatch.Transfer {
	switch {
	case p == nil:
		return passing{}
	case !r.Bulk || length <= 0:
		p.RecordUnpaced(int(max(length, 0)))
		return passing{}
	default:
		return p.Begin(r.Route, int(length), r.SoftDeadline, r.Deadline)
	}
}

// passing is the turn of an answer that is not paced.
type passing struct{}

// Wait implements pollenlatch.Transfer.
func (passing) Wait(context.Context, int) error { return nil }

// End implements pollenlatch.Transfer.
func (passing) End() {}
