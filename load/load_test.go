package load

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"pollenlatch"
)

func config() Config {
	return Config{
		Targets: []string{"daemon:80"}, Service: "claims", Rate: 100, Duration: 2 * time.Second, Keys: 10, Zipf: 1, Seed: 7,
		Kinds: []Kind{
			{Name: "claim", Caller: "mender", Weight: 1, Method: http.MethodPost, BodyBytes: 10, Idempotent: true},
			{Name: "view", Caller: "mender", Weight: 3},
		},
	}
}

// listener is in memory. net/http takes a timeout that is no net.Error, like
// the one of these connections, for the end of the connection, and cancels the
// request on it.
type listener struct{ *fasthttputil.InmemoryListener }

func newListener() listener { return listener{fasthttputil.NewInmemoryListener()} }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.InmemoryListener.Accept()
	return netConn{c}, err
}

type netConn struct{ net.Conn }

func (c netConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, fasthttputil.ErrTimeout) {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// run sends the load to a handler on connections in memory, inside a bubble.
func run(t *testing.T, cfg Config, h http.HandlerFunc) (Report, []Result) {
	t.Helper()
	ln := newListener()
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(ln) }()
	cfg.Dial = func(string) (net.Conn, error) { return ln.Dial() }
	var mu sync.Mutex
	var results []Result
	cfg.OnResult = func(r Result) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
	}
	r, err := Run(t.Context(), cfg)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	<-time.After(time.Minute) // the client library's cleaning goroutines end
	require.Len(t, results, r.Total.Sent)
	return r, results
}

// A load that differs from run to run cannot compare two versions.
func TestPlan(t *testing.T) {
	all := func(cfg Config) []plan {
		var out []plan
		p := newPlanner(cfg)
		for q, ok := p.plan(); ok; q, ok = p.plan() {
			q.kind = nil
			out = append(out, q)
		}
		return out
	}
	cfg := config()
	cfg.Rate = 5000
	first := all(cfg)
	require.Equal(t, first, all(cfg))
	require.InEpsilon(t, 10_000, len(first), 0.05)
	count := map[string]int{}
	for _, q := range first {
		count[q.key]++
	}
	require.InEpsilon(t, 2, float64(count["key-0"])/float64(count["key-1"]), 0.1, "Zipf with exponent 1")
	cfg.EvenlySpaced = true
	require.Len(t, all(cfg), 9999)
	cfg.Seed = 8
	require.NotEqual(t, first, all(cfg))
}

// A generator that waits for answers hides the time that callers wait.
func TestLatencyFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := config()
		cfg.EvenlySpaced, cfg.MaxConns, cfg.Timeout = true, 300, 10*time.Second
		start := time.Now()
		r, _ := run(t, cfg, func(http.ResponseWriter, *http.Request) {
			if d := time.Second - time.Since(start); d > 0 {
				<-time.After(d) // the server stands still for the first second
			}
		})
		require.Equal(t, 199, r.Total.Good)
		require.Equal(t, 990*time.Millisecond, r.Total.Latency.Max)
		require.Zero(t, r.MaxLag)
		require.Equal(t, r.Total.Sent, r.Kinds[0].Sent+r.Kinds[1].Sent)
		require.Less(t, r.Series[15].Latency.Max, time.Millisecond)
		require.Greater(t, r.Series[2].Latency.P50, 600*time.Millisecond)

		cfg.MaxInFlight = 10
		r, _ = run(t, cfg, func(http.ResponseWriter, *http.Request) { <-time.After(time.Second) })
		require.Positive(t, r.Dropped)
		require.Equal(t, 199, r.Dropped+r.Total.Sent)
	})
}

// A caller that repeats what may have run, or with another key, doubles it; one
// that does not repeat what did not run loses it. An attempt counted after one
// that did not run is told unknown for nothing on a range without records.
func TestRepeats(t *testing.T) {
	answer := func(outcome string, status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Pollen-Outcome", outcome)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, `{"reason":"queue-full"}`)
		}
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name             string
		h                http.HandlerFunc
		claims, putviews int  // attempts of a claim, and of a POST without a key
		counted          bool // by Pollen-Attempt, because they may have run
	}{
		{"not run", answer("not-run", 503), 3, 3, false},
		{"limited", answer("not-run", 429), 3, 3, false},
		{"bad request", answer("not-run", 400), 1, 1, false},
		{"unknown", answer("unknown", 502), 3, 1, true},
		{"cut off", abort, 3, 1, true},
		{"ran", answer("run", 409), 1, 1, false},
		{"server's error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := config()
				cfg.MaxAttempts, cfg.Kinds[1].Method = 3, http.MethodPost
				var mu sync.Mutex
				seen := map[string][]string{}
				r, results := run(t, cfg, func(w http.ResponseWriter, q *http.Request) {
					mu.Lock()
					id := q.Header.Get("X-Request-Id")
					seen[id] = append(seen[id], q.Header.Get("Idempotency-Key")+"/"+q.Header.Get("Pollen-Attempt"))
					mu.Unlock()
					c.h(w, q)
				})
				require.Zero(t, r.Total.Good)
				for _, res := range results {
					id, n := "", c.putviews
					if res.Kind == "claim" {
						id, n = res.ID, c.claims
					}
					want := []string{id + "/", id + "/", id + "/"}[:n]
					if c.counted {
						want = []string{id + "/", id + "/2", id + "/3"}[:n]
					}
					require.Equal(t, want, seen[res.ID])
					require.Len(t, want, res.Attempts)
				}
			})
		})
	}
}

// A key's time without service is a figure of the design; it must neither
// start late nor end early.
func TestOutages(t *testing.T) {
	k := &keyState{}
	s := time.Second
	k.addBad(10 * s)
	k.addBad(12 * s)
	k.addGood(span{11 * s, 14 * s}, 2*s)
	require.Equal(t, Outage{Start: 10 * s, Duration: 4 * s, Ended: true}, k.worst)
	require.Equal(t, []time.Duration{12 * s}, k.open)
	k.addGood(span{12 * s, 13 * s}, 2*s)
	require.Empty(t, k.open)
	k.addBad(11 * s) // recorded late, after the good answers
	require.Empty(t, k.open)
	require.Equal(t, 4*s, k.worst.Duration)
	for n := range time.Duration(1000) {
		k.addGood(span{(20 + n) * s, (21 + n) * s}, 2*s)
	}
	require.Less(t, len(k.recent), 50, "memory grows with the run")
}

// A report that can't be read back, or whose columns move, breaks its readers.
func TestWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := run(t, config(), func(w http.ResponseWriter, q *http.Request) {
			if q.Method == http.MethodPost {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		var b bytes.Buffer
		require.NoError(t, r.WriteJSON(&b))
		var back Report
		require.NoError(t, json.Unmarshal(b.Bytes(), &back))
		require.Equal(t, r, back)
		require.Equal(t, r.Total.Sent-r.Total.Good, r.Total.Reasons["status-500"])
		b.Reset()
		require.NoError(t, r.WriteCSV(&b))
		rows, err := csv.NewReader(&b).ReadAll()
		require.NoError(t, err)
		require.Len(t, rows, len(r.Series)+1)
		require.Equal(t, "100.000", rows[2][0])
		require.True(t, strings.HasPrefix(r.String(), "total: sent "))
	})
}

// Settings that make no load would look like a run without failures.
func TestConfigFaults(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"targets": func(c *Config) { c.Targets = nil }, "service": func(c *Config) { c.Service = "" },
		"rate": func(c *Config) { c.Rate = 0 }, "size": func(c *Config) { c.Rate = 1e9 },
		"keys": func(c *Config) { c.Keys = 0 }, "zipf": func(c *Config) { c.Zipf = -1 },
		"kinds": func(c *Config) { c.Kinds = nil }, "share": func(c *Config) { c.Kinds[0].Weight = 0 },
		"bucket": func(c *Config) { c.BucketWidth = 1 }, "timeout": func(c *Config) { c.Timeout = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			c := config()
			change(&c)
			_, err := Run(t.Context(), c)
			require.ErrorIs(t, err, ErrInvalidConfig)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c := config()
		c.Dial = func(string) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: errors.New("refused")} }
		r, err := Run(ctx, c)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, r.Total.Sent, r.Total.NotRun)
		require.Positive(t, r.Total.Sent)
		<-time.After(time.Minute)
	})
	require.True(t, Result{Outcome: pollenlatch.OutcomeRan, Status: 404}.Good())
}

// BenchmarkGenerator shows which rate one process sustains, its server
// included: the longest lag of a start and the median grow beyond it.
func BenchmarkGenerator(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(http.StatusOK) }}
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Shutdown() }()
	for _, rate := range []float64{5000, 10_000, 20_000, 40_000} {
		b.Run(strconv.FormatFloat(rate, 'f', 0, 64), func(b *testing.B) {
			cfg := config()
			cfg.Targets, cfg.Rate = []string{ln.Addr().String()}, rate
			for b.Loop() {
				r, err := Run(b.Context(), cfg)
				require.NoError(b, err)
				b.ReportMetric(float64(r.Total.Good)/cfg.Duration.Seconds(), "good/s")
				b.ReportMetric(float64(r.MaxLag)/1e6, "lag-ms")
				b.ReportMetric(float64(r.Total.Latency.P50)/1e6, "p50-ms")
				b.ReportMetric(float64(r.Total.Latency.P99)/1e6, "p99-ms")
				b.ReportMetric(float64(r.Dropped), "dropped")
			}
		})
	}
}
