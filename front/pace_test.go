package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// fakePacer records what leaves by a network link.
type fakePacer struct {
	passed int   // bytes without a turn
	turns  []int // bytes of answers that took turns, chunk by chunk
	left   int   // turns that have ended
	route  string
}

func (p *fakePacer) TypicalTime(string) time.Duration { return 0 }
func (p *fakePacer) Backlog() time.Duration           { return 0 }
func (p *fakePacer) RecordUnpaced(n int)              { p.passed += n }

func (p *fakePacer) Begin(route string, _ int, _, _ time.Time) pollenlatch.Transfer {
	p.route = route
	return p
}

func (p *fakePacer) Wait(ctx context.Context, n int) error {
	p.turns = append(p.turns, n)
	return ctx.Err()
}

func (p *fakePacer) End() { p.left++ }

// Answers to callers leave by the same link as answers to other instances. If
// they are not counted, the link gets more than it carries: its queue grows until
// answers miss their deadlines.
func TestAnswersToCallersTakeTurns(t *testing.T) {
	for _, c := range []struct {
		name   string
		bulk   bool
		length int64
		turns  int // bytes
		passed int
	}{
		{"a long answer takes turns", true, 100_000, 100_000, 0},
		{"a short one is counted", false, 300, 0, 300},
		{"one of unknown length is not held up", true, -1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, control := routedServer(t)
			control.view.route.Bulk = c.bulk
			pacer := new(fakePacer)
			s.cfg.Pacer = pacer
			s.cfg.Handler = pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
				w := &pollenlatch.Response{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", int(max(c.length, 0)))))}
				w.Status, w.Length = http.StatusOK, c.length
				return w, nil
			})
			rec := httptest.NewRecorder()
			s.ServeHTTP(rec, routedRequest(map[string]string{"Id": "i", "Left": "600"}))
			require.Equal(t, http.StatusOK, rec.Code)
			sum := 0
			for _, n := range pacer.turns {
				sum += n
			}
			require.Equal(t, c.turns, sum)
			require.Equal(t, c.passed, pacer.passed)
			if c.turns > 0 {
				require.Equal(t, "r1", pacer.route)
				require.Equal(t, 1, pacer.left)
			}
		})
	}
}
