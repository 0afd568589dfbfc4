package evac

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

type fixedClock pollenlatch.MonoTime

func (c fixedClock) Now() pollenlatch.MonoTime { return pollenlatch.MonoTime(c) }

// Requests by key are refused for too long when the rule is too strict, and reach a
// server after the time limit when it is too lax.
func TestRefuses(t *testing.T) {
	const start = pollenlatch.MonoTime(time.Hour)
	for _, tt := range []struct {
		name         string
		since        pollenlatch.MonoTime
		limit, after time.Duration
		byKey, want  bool
	}{
		{"not evacuated", 0, 0, 0, true, false},
		{"not evacuated, any server", 0, 0, 0, false, false},
		{"any server, at once", start, 0, 0, false, true},
		{"by key, at once", start, 0, 0, true, false},
		{"by key, before the margin", start, 0, 4400 * time.Millisecond, true, false},
		{"by key, within the margin", start, 0, 4600 * time.Millisecond, true, true},
		{"by key, a shorter limit", start, 2 * time.Second, 1600 * time.Millisecond, true, true},
		{"by key, a limit below the margin", start, 200 * time.Millisecond, 50 * time.Millisecond, true, false},
		{"by key, after a restart", 1, 0, 0, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := Rule{Limit: tt.limit, Clock: fixedClock(start.Add(tt.after)), Since: func(string) pollenlatch.MonoTime { return tt.since }}
			require.Equal(t, tt.want, r.Refuses("east", tt.byKey))
			left, evacuated := r.Left("east")
			require.Equal(t, tt.since != 0, evacuated)
			if tt.byKey && evacuated {
				require.Equal(t, tt.want, left == 0)
			}
		})
	}
	require.False(t, Rule{}.Refuses("east", false))
}

// BenchmarkRefuses measures the decision for a request by key, which is part of every
// request also when no data centre is evacuated.
func BenchmarkRefuses(b *testing.B) {
	for name, since := range map[string]map[string]pollenlatch.MonoTime{
		"none": nil, "evacuated": {"east": pollenlatch.BootClock{}.Now()},
	} {
		b.Run(name, func(b *testing.B) {
			r := Rule{Since: func(dc string) pollenlatch.MonoTime { return since[dc] }}
			for b.Loop() {
				r.Refuses("east", true)
			}
		})
	}
}
