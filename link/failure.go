package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pollenlatch"
)

// failure is the wire format of pollenlatch.Failure.
type failure struct {
	Outcome    pollenlatch.Outcome     `protobuf:"varint,1,opt,name=outcome"`
	Reason     pollenlatch.Reason      `protobuf:"bytes,2,opt,name=reason"`
	Detail     string                  `protobuf:"bytes,3,opt,name=detail"`
	Status     int32                   `protobuf:"varint,4,opt,name=status"`
	RetryAfter time.Duration           `protobuf:"varint,5,opt,name=after"`
	Sent       bool                    `protobuf:"varint,6,opt,name=sent"`
	Hint       *pollenlatch.ServerHint `protobuf:"bytes,7,opt,name=hint"`
}

// Check reports whether the outcome and the status are those of a failure.
func (f *failure) Check() error {
	if f.Outcome != pollenlatch.OutcomeNotRun && f.Outcome != pollenlatch.OutcomeUnknown {
		return fmt.Errorf("failure has invalid outcome %v", f.Outcome)
	}
	if f.Status < http.StatusBadRequest || f.Status > 599 {
		return fmt.Errorf("failure has invalid status %d", f.Status)
	}
	return nil
}

// toWire converts the error of a handler. An error that is not a *Failure says
// nothing about the request, so the outcome is unknown.
func toWire(err error) *failure {
	var f *pollenlatch.Failure
	if !errors.As(err, &f) {
		f = connectionLost("handler: %v", err)
	}
	w := &failure{Outcome: f.Outcome, Reason: f.Reason, Detail: f.Detail, Status: int32(f.Status), RetryAfter: f.RetryAfter, Sent: f.Sent, Hint: f.Hint}
	if w.Check() != nil {
		w.Outcome, w.Status = pollenlatch.OutcomeUnknown, http.StatusBadGateway
	}
	return w
}

func (f *failure) fromWire() *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: f.Outcome, Reason: f.Reason, Detail: f.Detail, Status: int(f.Status), RetryAfter: f.RetryAfter, Sent: f.Sent, Hint: f.Hint}
}

// defaultRetryAfter is the RetryAfter of an unreachable daemon: another attempt may
// succeed at once.
const defaultRetryAfter = time.Second

func unreachable(format string, args ...any) *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Outcome:    pollenlatch.OutcomeNotRun,
		Reason:     pollenlatch.ReasonUnreachable,
		Detail:     fmt.Sprintf(format, args...),
		Status:     http.StatusServiceUnavailable,
		RetryAfter: defaultRetryAfter,
	}
}

// connectionLost returns the failure of a request whose head may have reached the
// server.
func connectionLost(format string, args ...any) *pollenlatch.Failure {
	return &pollenlatch.Failure{
		Sent:    true,
		Outcome: pollenlatch.OutcomeUnknown,
		Reason:  pollenlatch.ReasonConnectionLost,
		Detail:  fmt.Sprintf(format, args...),
		Status:  http.StatusBadGateway,
	}
}

// contextEnded returns the failure of a request whose context ended with err, a
// cancellation or the deadline. sent says whether a byte of the head may have left
// this process.
func contextEnded(err error, sent bool) *pollenlatch.Failure {
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
	f.Detail = "request was cancelled or reached its deadline before the response"
	return f
}
