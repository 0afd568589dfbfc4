package crash

import (
	"net/http"
	"slices"
	"time"

	"pollenlatch"
)

// retryAfter is the Retry-After of a quarantined request. It is longer than any caller
// waits, since a quarantine lasts for minutes.
const retryAfter = time.Minute

// Check returns the failure of a request that is quarantined, or nil. It may replace
// the body of the request by one that returns the same bytes.
func Check(v pollenlatch.View, r *pollenlatch.Request) *pollenlatch.Failure {
	suspects := suspectsOf(v, r)
	if !slices.ContainsFunc(suspects, pollenlatch.Suspect.Quarantined) {
		return nil
	}
	body, err := peekBody(r)
	if err != nil {
		return &pollenlatch.Failure{
			Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonBadRequest, Status: http.StatusBadRequest,
			Detail: "request body could not be read: " + err.Error(),
		}
	}
	for _, s := range suspects {
		if s.Body == body && s.Quarantined() {
			return &pollenlatch.Failure{
				Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonQuarantined, Status: http.StatusServiceUnavailable,
				Detail: "several servers have ended under this request, fingerprint " + s.String(), RetryAfter: retryAfter,
			}
		}
	}
	return nil
}

// MayRetry reports whether a request may be sent to a second server after the first has
// lost the connection during the run. For a suspect that is likely to end the second one
// too.
func MayRetry(v pollenlatch.View, r *pollenlatch.Request) bool { return len(suspectsOf(v, r)) == 0 }

func suspectsOf(v pollenlatch.View, r *pollenlatch.Request) []pollenlatch.Suspect {
	sv, ok := v.(pollenlatch.SuspectView)
	if !ok || !sv.HasSuspects() {
		return nil
	}
	return sv.Suspects(headDigest(&r.RequestHead))
}

// ClearsSuspect reports whether the success of the run shows that a suspect does not
// crash servers.
func (run *Run) ClearsSuspect(v pollenlatch.View) bool {
	sv, ok := v.(pollenlatch.SuspectView)
	if !ok || !sv.HasSuspects() {
		return false
	}
	f := run.Fingerprint()
	return slices.ContainsFunc(sv.Suspects(f.Head), func(s pollenlatch.Suspect) bool {
		return s.Fingerprint == f
	})
}
