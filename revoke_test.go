package pollenlatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent to a server after they were given up, and against
// the claim that a request has not run that may have.
func TestRevocable(t *testing.T) {
	expect := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	for _, tt := range []struct {
		name      string
		do        func(r *Revocable)
		wantAfter time.Duration // until it is revoked; negative: it is not
	}{
		{"no end", func(*Revocable) {}, -1},
		{"waits", func(r *Revocable) { r.EndBy(time.Now().Add(3 * time.Second)) }, 3 * time.Second},
		{"waits and is expected to run for long", func(r *Revocable) {
			r.EndBy(time.Now().Add(3 * time.Second))
			r.ExpectRun(expect(2 * time.Second))
		}, time.Second},
		{"can't run to its end any more", func(r *Revocable) {
			r.ExpectRun(expect(2 * time.Second))
			r.EndBy(time.Now().Add(time.Second))
		}, 0},
		{"an earlier end stays", func(r *Revocable) {
			r.EndBy(time.Now().Add(time.Second))
			r.EndBy(time.Now().Add(2 * time.Second))
		}, time.Second},
		{"begun", func(r *Revocable) {
			r.EndBy(time.Now().Add(time.Second))
			r.Begin()
		}, -1},
		{"has a result", func(r *Revocable) {
			r.EndBy(time.Now().Add(time.Second))
			r.Close()
		}, -1},
		{"at another daemon", func(r *Revocable) {
			r.EndBy(time.Now().Add(time.Second))
			r.Forward(func(time.Time) {})
		}, -1},
		{"waits for another attempt", func(r *Revocable) {
			r.Begin()
			r.EndBy(time.Now().Add(time.Second))
			r.Forward(func(time.Time) {})
			time.Sleep(2 * time.Second)
			r.Reopen()
		}, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var revokedAt time.Time
				r := NewRevocable(func() { revokedAt = time.Now() })
				tt.do(r)
				time.Sleep(10 * time.Second)
				if tt.wantAfter < 0 {
					require.False(t, r.Revoked())
					return
				}
				require.True(t, r.Revoked())
				require.Equal(t, tt.wantAfter, revokedAt.Sub(start))
				require.False(t, r.Begin())
			})
		})
	}
	t.Run("begins too late", func(t *testing.T) {
		r := NewRevocable(nil)
		run := time.Duration(0)
		r.ExpectRun(func() time.Duration { return run })
		r.EndBy(time.Now().Add(time.Minute))
		run = time.Hour // known since another request has ended
		require.False(t, r.Begin())
		require.True(t, r.Revoked())
	})
	t.Run("an end is passed on", func(t *testing.T) {
		r := NewRevocable(nil)
		var ends []time.Time
		require.Zero(t, r.Forward(func(end time.Time) { ends = append(ends, end) }))
		end := time.Now().Add(time.Minute)
		r.EndBy(end)
		require.Equal(t, []time.Time{end}, ends)
		require.Equal(t, end, r.Forward(nil))
	})
	t.Run("none", func(t *testing.T) {
		r := RevocableOf(context.Background())
		require.Nil(t, r)
		r.ExpectRun(nil)
		r.Reopen()
		r.Close()
		require.Zero(t, r.Forward(nil))
		require.True(t, BeginRun(context.Background()))
	})
}
