package pace

import (
	"context"

	"pollenlatch"
)

// NewTransfer returns the transfer of the response to r, whose body has length bytes;
// -1 is unknown. Only large responses of known length are paced. Others are sent
// without waiting, and only their bytes are counted. A nil pacer is an unlimited link.
func NewTransfer(p pollenlatch.Pacer, r *pollenlatch.Request, length int64) pollenlatch.Transfer {
	switch {
	case p == nil:
		return unpaced{}
	case !r.Bulk || length <= 0:
		p.RecordUnpaced(int(max(length, 0)))
		return unpaced{}
	default:
		return p.Begin(r.Route, int(length), r.SoftDeadline, r.Deadline)
	}
}

// unpaced is the transfer of a response that is not paced.
type unpaced struct{}

// Wait implements pollenlatch.Transfer.
func (unpaced) Wait(context.Context, int) error { return nil }

// End implements pollenlatch.Transfer.
func (unpaced) End() {}
