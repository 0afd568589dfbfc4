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

// fakePacer records what is sent on the network link.
type fakePacer struct {
	unpaced int   // bytes sent without a transfer
	chunks  []int // bytes of each paced chunk
	ended   int   // transfers that have ended
	route   string
}

func (p *fakePacer) TypicalTime(string) time.Duration { return 0 }
func (p *fakePacer) Backlog() time.Duration           { return 0 }
func (p *fakePacer) RecordUnpaced(n int)              { p.unpaced += n }

func (p *fakePacer) Begin(route string, _ int, _, _ time.Time) pollenlatch.Transfer {
	p.route = route
	return p
}

func (p *fakePacer) Wait(ctx context.Context, n int) error {
	p.chunks = append(p.chunks, n)
	return ctx.Err()
}

func (p *fakePacer) End() { p.ended++ }

// Responses to callers share the network link with responses to other
// instances. If they were not counted, the link would be overbooked, and its
// queue would grow until responses miss their deadlines.
func TestResponsesToCallersArePaced(t *testing.T) {
	for _, c := range []struct {
		name    string
		bulk    bool
		length  int64
		paced   int // bytes
		unpaced int
	}{
		{"large response is paced", true, 100_000, 100_000, 0},
		{"small response is counted", false, 300, 0, 300},
		{"response of unknown length is not paced", true, -1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, control := newRoutedServer(t)
			control.view.route.Bulk = c.bulk
			pacer := new(fakePacer)
			s.cfg.Pacer = pacer
			s.cfg.Handler = pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
				w := &pollenlatch.Response{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", int(max(c.length, 0)))))}
				w.Status, w.Length = http.StatusOK, c.length
				return w, nil
			})
			rec := httptest.NewRecorder()
			s.ServeHTTP(rec, newRoutedRequest(map[string]string{"Id": "i", "Left": "600"}))
			require.Equal(t, http.StatusOK, rec.Code)
			sum := 0
			for _, n := range pacer.chunks {
				sum += n
			}
			require.Equal(t, c.paced, sum)
			require.Equal(t, c.unpaced, pacer.unpaced)
			if c.paced > 0 {
				require.Equal(t, "r1", pacer.route)
				require.Equal(t, 1, pacer.ended)
			}
		})
	}
}
