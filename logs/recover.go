package logs

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"k8s.io/klog/v2"

	"pollenlatch"
)

// HandleRecovered calls a handler and turns a panic into a failure with an unknown
// outcome. In a goroutine without a recovery, a panic in one request would end the
// process and all other requests with it.
func HandleRecovered(ctx context.Context, h pollenlatch.Handler, r *pollenlatch.Request) (resp *pollenlatch.Response, err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		klog.ErrorS(nil, "handler of a request panicked", "id", r.ID, "service", r.Service, "panic", v, "stack", string(debug.Stack()))
		resp, err = nil, &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeUnknown,
			Reason:  pollenlatch.ReasonConnectionLost,
			Detail:  fmt.Sprintf("internal error: %v", v),
			Status:  http.StatusBadGateway,
			Sent:    true,
		}
	}()
	return h.Handle(ctx, r)
}
