package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pollenlatch"
)

// failure is a pollenlatch.Failure on the wire.
type failure struct {
	Outcome pollenlatch.Outcome `protobuf:"varint,1,opt,name=outcome"`
	Reason  pollenlatch.Reason  `protobuf:"bytes,2,opt,name=reason"`
	Detail  string              `protobuf:"bytes,3,opt,name=detail"`
	Status  int32               `protobuf:"varint,4,opt,name=status"`
	After   time.Duration       `protobuf:"varint,5,opt,name=after"`
	Sent    bool                `protobuf:"varint,6,opt,name=sent"`
}

// Check reports an outcome or status that no failure has.
func (f *failure) Check() error {
	if f.Outcome != pollenlatch.OutcomeNotRun && f.Outcome != pollenlatch.OutcomeUnknown {
		return fmt.Errorf("failure with outcome %v", f.Outcome)
	}
	if f.Status < http.StatusBadRequest || f.Status > 599 {
		return fmt.Errorf("failure with status %d", f.Status)
	}
	return nil
}

// toWire converts the error of a handler. An error of another type says
// nothing about the request, so its outcome is unknown.
func toWire(err error) *failure {
	var f *pollenlatch.Failure
	if !errors.As(err, &f) {
		f = broken("handler: %v", err)
	}
	w := &failure{Outcome: f.Outcome, Reason: f.Reason, Detail: f.Detail, Status: int32(f.Status), After: f.RetryAfter, Sent: f.Sent}
	if w.Check() != nil {
		w.Outcome, w.Status = pollenlatch.OutcomeUnknown, http.StatusBadGateway
	}
	return w
}

func (f *failure) fromWire() *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: f.Outcome, Reason: f.Reason, Detail: f.Detail, Status: int(f.Status), RetryAfter: f.After, Sent: f.Sent}
}

// retryAfter is what a caller is told to wait when another attempt may help at
// once.
const retryAfter = time.Second

func unreachable(format string, args ...any) *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Outcome:    pollenlatch.OutcomeNotRun,
		Reason:     pollenlatch.ReasonUnreachable,
		Detail:     fmt.Sprintf(format, args...),
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	}
}

// broken returns the failure of a request whose head may have reached its server.
func broken(format string, args ...any) *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Sent:    true,
		Outcome: pollenlatch.OutcomeUnknown,
		Reason:  pollenlatch.ReasonConnectionLost,
		Detail:  fmt.Sprintf(format, args...),
		Status:  http.StatusBadGateway,
	}
}

// ended returns the failure of a request whose context ended with err. sent
// says whether a byte of the head may have left this process.
func ended(err error, sent bool) *pollenlatch.Failure {
	f := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonCancelled, Status: http.StatusServiceUnavailable}
	if errors.Is(err, context.DeadlineExceeded) {
		f.Reason, f.Status = pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout
	}
	if sent {
		f.Outcome, f.Sent = pollenlatch.OutcomeUnknown, true
		if f.Reason == pollenlatch.ReasonCancelled {
			f.Status = http.StatusBadGateway
		}
	}
	f.Detail = "the request ended before its answer"
	return f
}
