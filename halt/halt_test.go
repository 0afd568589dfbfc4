package halt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against requests that a stopping process takes and then aborts: with a grace
// period of 6 s, claims with a deadline of 4 s that came 1.5 s to 3.3 s after the signal
// were cut without a response.
func TestGate(t *testing.T) {
	signal := time.Unix(1_800_000_000, 0)
	schedule := Schedule{RepeatableUntil: signal.Add(3 * time.Second), End: signal.Add(5600 * time.Millisecond)}
	for _, tt := range []struct {
		name       string
		after      time.Duration // since the signal
		timeout    time.Duration // 0 is none
		idempotent bool
		want       bool
	}{
		{"ends in time", 1500 * time.Millisecond, 4 * time.Second, false, true},
		{"ends with the process", 1600 * time.Millisecond, 4 * time.Second, false, true},
		{"may be aborted", 1601 * time.Millisecond, 4 * time.Second, false, false},
		{"late and short", 4 * time.Second, time.Second, false, true},
		{"a deadline longer than the grace period", 0, 6 * time.Second, false, false},
		{"without a deadline", 0, 0, false, false},
		{"may be repeated", 2900 * time.Millisecond, 6 * time.Second, true, true},
		{"may be repeated, late", 3 * time.Second, 6 * time.Second, true, false},
		{"may be repeated, late and short", 3500 * time.Millisecond, 2 * time.Second, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := signal.Add(tt.after)
			r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Idempotent: tt.idempotent}}
			if tt.timeout > 0 {
				r.Deadline = now.Add(tt.timeout)
			}
			var g Gate
			require.Nil(t, g.Check(r, now), "before the stop")
			g.Begin(schedule)
			f := g.Check(r, now)
			require.Equal(t, tt.want, f == nil)
			if f != nil {
				require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
				require.Equal(t, schedule.End.Sub(now), f.RetryAfter)
				require.EqualValues(t, 1, g.Refused())
			}
		})
	}
}
