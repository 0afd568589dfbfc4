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

func testConfig() Config {
	return Config{
		Targets: []string{"daemon:80"}, Service: "claims", Rate: 100, Duration: 2 * time.Second, Keys: 10, Zipf: 1, Seed: 7,
		Kinds: []Kind{
			{Name: "claim", Caller: "mender", Weight: 1, Method: http.MethodPost, BodyBytes: 10, Idempotent: true},
			{Name: "view", Caller: "mender", Weight: 3},
		},
	}
}

// memListener is an in-memory listener for net/http. Time-outs of its connections
// are not a net.Error by themselves, and net/http would take them for the end of the
// connection and cancel the request.
type memListener struct{ *fasthttputil.InmemoryListener }

func newMemListener() memListener { return memListener{fasthttputil.NewInmemoryListener()} }

func (l memListener) Accept() (net.Conn, error) {
	c, err := l.InmemoryListener.Accept()
	return memConn{c}, err
}

type memConn struct{ net.Conn }

func (c memConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, fasthttputil.ErrTimeout) {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// runLoad sends the load to a handler over in-memory connections. It must be called
// inside a synctest bubble.
func runLoad(t *testing.T, cfg Config, h http.HandlerFunc) (Report, []Result) {
	t.Helper()
	ln := newMemListener()
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
	<-time.After(time.Minute) // lets the clean-up goroutines of the HTTP client end
	require.Len(t, results, r.Total.Sent)
	return r, results
}

// Two versions can only be compared under the same load, so the same seed must give
// the same requests.
func TestPlanIsDeterministic(t *testing.T) {
	planAll := func(cfg Config) []plannedRequest {
		var out []plannedRequest
		p := newPlanner(cfg)
		for q, ok := p.next(); ok; q, ok = p.next() {
			q.kind = nil
			out = append(out, q)
		}
		return out
	}
	cfg := testConfig()
	cfg.Rate = 5000
	first := planAll(cfg)
	require.Equal(t, first, planAll(cfg))
	require.InEpsilon(t, 10_000, len(first), 0.05)
	count := map[string]int{}
	for _, q := range first {
		count[q.key]++
	}
	require.InEpsilon(t, 2, float64(count["key-0"])/float64(count["key-1"]), 0.1, "Zipf distribution with exponent 1")
	cfg.EvenlySpaced = true
	require.Len(t, planAll(cfg), 9999)
	cfg.Seed = 8
	require.NotEqual(t, first, planAll(cfg))
}

// A generator that waits for responses before it sends more understates latency, as
// requests that should have started meanwhile are missing (coordinated omission).
func TestLatencyFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		cfg.EvenlySpaced, cfg.MaxConns, cfg.Timeout = true, 300, 10*time.Second
		start := time.Now()
		r, _ := runLoad(t, cfg, func(http.ResponseWriter, *http.Request) {
			if d := time.Second - time.Since(start); d > 0 {
				<-time.After(d) // the server stalls for the first second
			}
		})
		require.Equal(t, 199, r.Total.Good)
		require.Equal(t, 990*time.Millisecond, r.Total.Latency.Max)
		require.Zero(t, r.MaxLag)
		require.Equal(t, r.Total.Sent, r.Kinds[0].Sent+r.Kinds[1].Sent)
		require.Less(t, r.Series[15].Latency.Max, time.Millisecond)
		require.Greater(t, r.Series[2].Latency.P50, 600*time.Millisecond)

		cfg.MaxInFlight = 10
		r, _ = runLoad(t, cfg, func(http.ResponseWriter, *http.Request) { <-time.After(time.Second) })
		require.Positive(t, r.Dropped)
		require.Equal(t, 199, r.Dropped+r.Total.Sent)
	})
}

// A request may run twice if its caller retries it after an attempt that may have run,
// and sends no idempotency key or another one. A request is lost if its caller does not
// retry it after an attempt that did not run. If Pollen-Attempt counts attempts that
// did not run, a range without records needlessly responds "unknown".
func TestRetries(t *testing.T) {
	respond := func(outcome string, status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Pollen-Outcome", outcome)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, `{"reason":"queue-full"}`)
		}
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name                        string
		handler                     http.HandlerFunc
		claimAttempts, viewAttempts int  // of a claim, and of a POST without an idempotency key
		numbered                    bool // retries carry Pollen-Attempt, as earlier attempts may have run
	}{
		{"not run", respond("not-run", 503), 3, 3, false},
		{"rate limited", respond("not-run", 429), 3, 3, false},
		{"bad request", respond("not-run", 400), 1, 1, false},
		{"unknown", respond("unknown", 502), 3, 1, true},
		{"connection aborted", abort, 3, 1, true},
		{"ran", respond("run", 409), 1, 1, false},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig()
				cfg.MaxAttempts, cfg.Kinds[1].Method = 3, http.MethodPost
				var mu sync.Mutex
				seen := map[string][]string{}
				r, results := runLoad(t, cfg, func(w http.ResponseWriter, q *http.Request) {
					mu.Lock()
					id := q.Header.Get("X-Request-Id")
					seen[id] = append(seen[id], q.Header.Get("Idempotency-Key")+"/"+q.Header.Get("Pollen-Attempt"))
					mu.Unlock()
					c.handler(w, q)
				})
				require.Zero(t, r.Total.Good)
				for _, res := range results {
					id, n := "", c.viewAttempts
					if res.Kind == "claim" {
						id, n = res.ID, c.claimAttempts
					}
					want := []string{id + "/", id + "/", id + "/"}[:n]
					if c.numbered {
						want = []string{id + "/", id + "/2", id + "/3"}[:n]
					}
					require.Equal(t, want, seen[res.ID])
					require.Len(t, want, res.Attempts)
				}
			})
		})
	}
}

// The time without service of a key is a target of the design, so an outage must
// neither be measured as starting late nor as ending early.
func TestOutages(t *testing.T) {
	tracker := &outageTracker{}
	s := time.Second
	tracker.addFailure(10 * s)
	tracker.addFailure(12 * s)
	tracker.addGood(interval{11 * s, 14 * s}, 2*s)
	require.Equal(t, Outage{Start: 10 * s, Duration: 4 * s, Ended: true}, tracker.longest)
	require.Equal(t, []time.Duration{12 * s}, tracker.openFailures)
	tracker.addGood(interval{12 * s, 13 * s}, 2*s)
	require.Empty(t, tracker.openFailures)
	tracker.addFailure(11 * s) // arrives after the good requests
	require.Empty(t, tracker.openFailures)
	require.Equal(t, 4*s, tracker.longest.Duration)
	for n := range time.Duration(1000) {
		tracker.addGood(interval{(20 + n) * s, (21 + n) * s}, 2*s)
	}
	require.Less(t, len(tracker.recentGood), 50, "memory grows with the run")
}

// Programs read the JSON and the CSV of a report: the JSON must decode to the same
// report, and the columns must keep their places.
func TestReportFormats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := runLoad(t, testConfig(), func(w http.ResponseWriter, q *http.Request) {
			if q.Method == http.MethodPost {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		var b bytes.Buffer
		require.NoError(t, r.WriteJSON(&b))
		var decoded Report
		require.NoError(t, json.Unmarshal(b.Bytes(), &decoded))
		require.Equal(t, r, decoded)
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

// A configuration that sends no requests would look like a run without failures.
func TestInvalidConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"targets": func(c *Config) { c.Targets = nil }, "service": func(c *Config) { c.Service = "" },
		"rate": func(c *Config) { c.Rate = 0 }, "size": func(c *Config) { c.Rate = 1e9 },
		"keys": func(c *Config) { c.Keys = 0 }, "zipf": func(c *Config) { c.Zipf = -1 },
		"kinds": func(c *Config) { c.Kinds = nil }, "share": func(c *Config) { c.Kinds[0].Weight = 0 },
		"bucket": func(c *Config) { c.BucketWidth = 1 }, "timeout": func(c *Config) { c.Timeout = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			c := testConfig()
			change(&c)
			_, err := Run(t.Context(), c)
			require.ErrorIs(t, err, ErrInvalidConfig)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c := testConfig()
		c.Dial = func(string) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: errors.New("refused")} }
		r, err := Run(ctx, c)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, r.Total.Sent, r.Total.NotRun)
		require.Positive(t, r.Total.Sent)
		<-time.After(time.Minute)
	})
	require.True(t, Result{Outcome: pollenlatch.OutcomeRan, Status: 404}.Good())
}

// BenchmarkGenerator shows the rate that one process sustains together with its
// server. Above that rate the maximum lag and the median latency grow.
func BenchmarkGenerator(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(http.StatusOK) }}
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Shutdown() }()
	for _, rate := range []float64{5000, 10_000, 20_000, 40_000} {
		b.Run(strconv.FormatFloat(rate, 'f', 0, 64), func(b *testing.B) {
			cfg := testConfig()
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
