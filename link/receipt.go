package link

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
)

const (
	// receiptMemory is how long the receipts of requests are kept after their end. It is
	// longer than the deadlines of most requests.
	receiptMemory = 10 * time.Second
	// maxReceipts limits the receipts that are kept: 800 requests a second for
	// receiptMemory. Beyond it the oldest are forgotten, and nothing is said of requests
	// that were sent before that.
	maxReceipts = 1 << 13
	// revokeMargin is how long before its deadline a request without a response is
	// revoked, at most. The answer must arrive before the deadline. revokeShare is the same
	// as a share of the time that the request has.
	revokeMargin = 60 * time.Millisecond
	revokeShare  = 0.1
	// revokeTimeout limits the wait for the answer. It is also the maximum time that a
	// revocation is on its way, which coverageMargin must exceed.
	revokeTimeout  = 250 * time.Millisecond
	coverageMargin = time.Second
)

// The byte in the answer to a revocation.
const (
	verdictUnknown = 0 // the request has begun, or nothing is known of it
	verdictNotRun  = 1 // it has not run and never will
)

// receipts tells which of the requests that other daemons have forwarded to this process
// have not run. It addresses links that fail, and heads that are delayed, while the
// request waits here: the sender would have to assume that it has run.
//
// A request that is not known here is one that has not arrived. It is remembered as
// revoked and refused if it arrives later. That is only certain while no receipt of the
// time since it was sent has been forgotten. The zero value must not be used.
type receipts struct {
	mu        sync.Mutex
	coveredAt time.Time // everything that was sent since is known
	byNumber  map[uint64]*receipt
	order     []*receipt // in the order in which they ended
}

// receipt is what is kept of one request.
type receipt struct {
	number  uint64
	state   *pollenlatch.Revocable
	notRun  bool      // it ended without having run
	endedAt time.Time // zero while it is handled
}

func newReceipts(now time.Time) *receipts {
	return &receipts{coveredAt: now, byNumber: make(map[uint64]*receipt)}
}

// begin registers a request that has arrived; false if it was revoked before. cancel is
// called when it is revoked.
func (t *receipts) begin(number uint64, cancel func()) (*receipt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byNumber[number]; r != nil {
		return r, false
	}
	r := &receipt{number: number, state: pollenlatch.NewRevocable(cancel)}
	t.byNumber[number] = r
	return r, true
}

// end is called when the handler of a request has returned. notRun says that it has
// returned a failure with OutcomeNotRun.
func (t *receipts) end(r *receipt, notRun bool, now time.Time) {
	r.state.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	r.notRun = notRun
	t.keep(r, now)
}

// keep keeps a receipt for receiptMemory, and forgets the oldest. The caller holds mu.
func (t *receipts) keep(r *receipt, now time.Time) {
	r.endedAt = now
	t.order = append(t.order, r)
	for len(t.order) > 0 && (len(t.order) > maxReceipts || now.Sub(t.order[0].endedAt) > receiptMemory) {
		oldest := t.order[0]
		t.order[0] = nil
		t.order = t.order[1:]
		delete(t.byNumber, oldest.number)
		if oldest.endedAt.After(t.coveredAt) {
			t.coveredAt = oldest.endedAt
		}
	}
}

// revoke revokes a request that was sent age before the revocation, and reports whether
// it is certain that it has not run and never will.
func (t *receipts) revoke(number uint64, age time.Duration, now time.Time) (notRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byNumber[number]
	if r == nil {
		if now.Sub(t.coveredAt) < age+coverageMargin || age > receiptMemory-coverageMargin {
			return false
		}
		r = &receipt{number: number, state: new(pollenlatch.Revocable), notRun: true}
		t.byNumber[number] = r
		t.keep(r, now)
		return true
	}
	return r.notRun || r.state.Revoke()
}

// limit sets the time by which the response to a request must be complete. It has no
// effect on a request that is not known: its sender revokes it later.
func (t *receipts) limit(number uint64, end time.Time) {
	t.mu.Lock()
	r := t.byNumber[number]
	t.mu.Unlock()
	if r != nil {
		r.state.EndBy(end)
	}
}

// Revocations returns how many revocations were answered, and how many of these requests
// had not run.
func (n *Node) Revocations() (answered, notRun uint64) {
	return n.revocations.Load(), n.revokedNotRun.Load()
}

// isAdaptive reports whether the parts for overload apply.
func (n *Node) isAdaptive() bool { return n.cfg.Adaptive != nil && n.cfg.Adaptive() }

// receiptNumber returns a number for a request, or 0 when it gets no receipt. mayOutlast
// says that this process may stop before the request ends.
func (n *Node) receiptNumber(mayOutlast bool) uint64 {
	if !mayOutlast && !n.isAdaptive() {
		return 0
	}
	return rand.Uint64() | 1
}

// handleReceipted calls the handler for a request that its sender may revoke.
func (st *inboundStream) handleReceipted(ctx context.Context, in *inboundRequest, handle func(ctx context.Context) (*pollenlatch.Response, error)) (*pollenlatch.Response, error) {
	t := st.session.node.receipts
	ctx, cancel := context.WithCancel(ctx) // ends with the request
	r, ok := t.begin(in.request.Receipt, cancel)
	if !ok {
		cancel()
		return nil, revoked()
	}
	if in.request.ResponseLeft != 0 {
		r.state.EndBy(time.Now().Add(in.request.ResponseLeft))
	}
	resp, err := handle(pollenlatch.WithRevocable(ctx, r.state))
	wasRevoked := r.state.Revoked()
	var f *pollenlatch.Failure
	notRun := errors.As(err, &f) && f.Outcome == pollenlatch.OutcomeNotRun
	t.end(r, notRun, time.Now())
	if notRun && wasRevoked && f.Reason != pollenlatch.ReasonDraining {
		cancel()
		return nil, revoked()
	}
	return resp, err
}

// revoked returns the failure of a request that was revoked before it began.
func revoked() *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonDeadlineExceeded, Status: http.StatusServiceUnavailable,
		Detail: "the request was revoked before it was sent to a server",
	}
}

// answerRevocation answers a revocation on the stream. No exchange is in progress on it.
func (st *inboundStream) answerRevocation(payload []byte) error {
	number, b, err := splitNumber(payload)
	if err != nil || (len(b) != revokeBytes && len(b) != revokeBytes+8) {
		return errMalformedFrame
	}
	receiptNumber, age := binary.BigEndian.Uint64(b), time.Duration(binary.BigEndian.Uint64(b[8:]))
	verdict := byte(verdictUnknown)
	switch now := time.Now(); {
	case len(b) > revokeBytes:
		left := time.Duration(binary.BigEndian.Uint64(b[revokeBytes:]))
		st.session.node.receipts.limit(receiptNumber, now.Add(left))
	case age >= 0 && st.session.node.receipts.revoke(receiptNumber, age, now):
		verdict = verdictNotRun
	}
	_, err = st.stream.Write(appendNumbered(nil, kindVerdict, number, []byte{verdict}))
	return err
}

// revoke asks the daemon at addr to revoke a request that was sent to it at sentAt, and
// reports whether it is certain that the request has not run and never will.
func (n *Node) revoke(ctx context.Context, addr string, receiptNumber uint64, sentAt time.Time, timeout time.Duration) bool {
	verdict, err := n.sendRevocation(ctx, addr, appendRevocation(nil, receiptNumber, time.Since(sentAt)), time.Now().Add(timeout))
	if err != nil {
		return false
	}
	notRun := verdict == verdictNotRun
	n.revocations.Add(1)
	if notRun {
		n.revokedNotRun.Add(1)
	}
	if suppressed, ok := n.revokeLog.Allow(time.Now()); ok {
		klog.InfoS("request revoked", "addr", addr, "notRun", notRun, "ageMs", time.Since(sentAt).Milliseconds(), "suppressed", suppressed)
	}
	return notRun
}

// revokeBytes is the length of a revocation behind the exchange number: a receipt and an
// age.
const revokeBytes = 16

func appendRevocation(b []byte, receiptNumber uint64, age time.Duration) []byte {
	b = binary.BigEndian.AppendUint64(b, receiptNumber)
	return binary.BigEndian.AppendUint64(b, uint64(age))
}

// sendRevocation sends a revocation to the daemon at addr and waits for the answer.
func (n *Node) sendRevocation(ctx context.Context, addr string, b []byte, deadline time.Time) (verdict byte, err error) {
	s, err := n.acquireSession(ctx, addr, deadline)
	if err != nil {
		return 0, err
	}
	st, err := s.acquireStream()
	if err != nil {
		n.releaseSession(s, nil)
		return 0, err
	}
	_ = st.SetDeadline(deadline)
	verdict, err = st.revoke(b)
	if err == nil && time.Now().After(deadline) {
		err = context.DeadlineExceeded
	}
	if err != nil {
		_ = st.Close()
		n.releaseSession(s, nil)
		return 0, err
	}
	_ = st.SetDeadline(time.Time{})
	n.releaseSession(s, st)
	return verdict, nil
}

func (st *outboundStream) revoke(b []byte) (verdict byte, err error) {
	if _, err := st.Write(appendNumbered(nil, kindRevoke, st.number, b)); err != nil {
		return 0, err
	}
	k, b, err := readFrame(st.r, maxSignalBytes)
	if err != nil {
		return 0, err
	}
	number, b, err := splitNumber(b)
	if err != nil || k != kindVerdict || number != st.number || len(b) != 1 {
		return 0, errMalformedFrame
	}
	return b[0], nil
}

// startRevoking makes the exchange revoke its request shortly before the deadline, when
// there is no response yet. A request that still waits then is refused, and the truth of
// it arrives in time.
func (x *exchange) startRevoking(remaining time.Duration) {
	margin := min(revokeMargin, time.Duration(revokeShare*float64(remaining)))
	x.revokeTimer = time.AfterFunc(remaining-margin, func() { x.startRevocation(margin + deadlineMargin/2) })
}

// startRevocation asks the accepting side to revoke the request, and aborts the exchange
// if it has.
func (x *exchange) startRevocation(timeout time.Duration) {
	n := x.session.node
	n.spawn(func() {
		if n.revoke(x.ctx, x.session.addr, x.receipt, x.sentAt, timeout) {
			x.revoked.Store(true)
			x.abort()
		}
	})
}

// endBy tells the accepting side by when the response must be complete. It refuses the
// request when it can no longer run to its end by then, also while it waits for a slot.
// Where that fails, revokeAtEnd ends the wait.
func (x *exchange) endBy(end time.Time) {
	n := x.session.node
	n.spawn(func() {
		b := appendRevocation(nil, x.receipt, time.Since(x.sentAt))
		b = binary.BigEndian.AppendUint64(b, uint64(time.Until(end)))
		if _, err := n.sendRevocation(x.ctx, x.session.addr, b, time.Now().Add(revokeTimeout)); err != nil && !x.ended.Load() {
			klog.V(1).InfoS("end of a forwarded request not acknowledged", "id", x.head.ID, "addr", x.session.addr, "err", err)
		}
	})
	x.revokeAtEnd(end)
}

// revokeAtEnd makes the exchange revoke its request when the response can no longer be
// complete by end.
func (x *exchange) revokeAtEnd(end time.Time) {
	x.endTimer.Store(time.AfterFunc(time.Until(end), func() {
		if !x.ended.Load() {
			x.startRevocation(revokeTimeout)
		}
	}))
}

// revokeAfterLoss revokes the request of an exchange whose connection was lost, and
// reports whether it is certain that it has not run and never will.
func (x *exchange) revokeAfterLoss() bool {
	timeout := min(revokeTimeout, time.Until(x.deadline)-deadlineMargin)
	return x.receipt != 0 && timeout > 0 && x.session.node.revoke(x.ctx, x.session.addr, x.receipt, x.sentAt, timeout)
}
