package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/admit"
	"pollenlatch/dedup"
	"pollenlatch/local"
	"pollenlatch/relay"
	"pollenlatch/sample"
	"pollenlatch/serve"
)

// fakeControl is the Control of an instance that owns every shard.
type fakeControl struct{ inFlight atomic.Int64 }

// fakeView is the View of fakeControl.
type fakeView struct{ pollenlatch.View }

const ownerFence = 20

func (c *fakeControl) Self() pollenlatch.InstanceID { return 1 }
func (c *fakeControl) View() pollenlatch.View       { return fakeView{} }
func (c *fakeControl) Changed() <-chan struct{}     { return nil }
func (c *fakeControl) Serving() error               { return nil }
func (fakeView) Version() pollenlatch.Version       { return 30 }

func (c *fakeControl) Acquire(pollenlatch.Shard, pollenlatch.Fence) (pollenlatch.Permit, error) {
	c.inFlight.Add(1)
	return fakePermit{c}, nil
}

func (fakeView) Service(name string) (pollenlatch.Service, bool) {
	return pollenlatch.Service{Name: name, Keyed: true, RangeBits: 4}, true
}

func (fakeView) Owner(service, key string) (pollenlatch.Owner, bool) {
	s := pollenlatch.Shard{Service: service, Range: pollenlatch.RangeOf(service, key, 4)}
	return pollenlatch.Owner{Shard: s, Instance: 1, Fence: ownerFence}, true
}

type fakePermit struct{ control *fakeControl }

func (p fakePermit) Check() error { return nil }
func (p fakePermit) Release()     { p.control.inFlight.Add(-1) }

func (p fakePermit) ReleaseAfter(d time.Duration) { time.AfterFunc(d, p.Release) }

// frontHandler serves callers' HTTP requests through h, as far as the test needs.
func frontHandler(h pollenlatch.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("Pollen-Timeout"))
		attempt, _ := strconv.ParseUint(r.Header.Get("Pollen-Attempt"), 10, 32)
		q := &pollenlatch.Request{Deadline: time.Now().Add(time.Duration(ms) * time.Millisecond), Body: r.Body}
		q.Service, q.Key, q.Caller = r.Header.Get("Pollen-Service"), r.Header.Get("Pollen-Key"), r.Header.Get("Pollen-Caller")
		q.Method, q.URI, q.Length, q.Attempt = r.Method, r.RequestURI, r.ContentLength, uint32(attempt)
		q.IdempotencyKey, q.Idempotent = r.Header.Get("Idempotency-Key"), r.Method == http.MethodGet
		q.Header = []pollenlatch.Header{{Name: sample.HeaderRequestID, Value: r.Header.Get(sample.HeaderRequestID)}}
		owner, _ := fakeView{}.Owner(q.Service, q.Key)
		q.Shard, q.Fence, q.Version = owner.Shard, owner.Fence, 30
		resp, err := h.Handle(r.Context(), q)
		var f *pollenlatch.Failure
		if errors.As(err, &f) {
			w.Header().Set("Pollen-Outcome", f.Outcome.String())
			w.WriteHeader(f.Status)
			_ = json.NewEncoder(w).Encode(f)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
		w.WriteHeader(int(resp.Status))
		if _, err := io.Copy(w, resp.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// The system must never report "not run" for a request that ran, nor run a claim
// twice. The load passes through the request path to a sample server that freezes,
// delays and truncates responses, sheds load and refuses requests without a grant.
func TestOutcomesUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testOutcomes(t, seed) })
		})
	}
}

func testOutcomes(t *testing.T, seed uint64) {
	t.Helper()
	s, err := sample.New(sample.Config{
		Endpoint:    pollenlatch.Endpoint{Service: "claims", Slots: 4, MaxConns: 20, Fenced: true, Incarnation: 7},
		ServiceTime: 20 * time.Millisecond, Jitter: 1, Seed: seed, PaddingBytes: 2000,
	})
	require.NoError(t, err)
	ln := newMemListener()
	go func() { _ = s.Serve(ln) }()
	control := &fakeControl{}
	exchanger := relay.New(relay.Config{
		Dial:   func(context.Context, string) (net.Conn, error) { return ln.Dial() },
		MaxRun: func(string) time.Duration { return 300 * time.Millisecond },
	})
	defer func() {
		exchanger.Close()
		_ = s.Close()
		<-s.Done()
	}()
	exchanger.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 20})
	admitter := admit.NewPriorityAdmitter(admit.Config{})
	admitter.SetSlots(5) // one more than the server has, so that it sheds load
	h := serve.New(serve.Config{
		Control: control, Admitter: admitter, Exchanger: exchanger, Records: dedup.New(dedup.Config{}),
		Endpoint: func() (pollenlatch.Endpoint, bool) {
			return pollenlatch.Endpoint{Service: "claims", Ready: true}, true
		},
	})
	// The grants are valid for the first half of the run, and again for its last
	// quarter.
	seq := uint64(0)
	grant := func(ttl time.Duration) {
		seq++
		g := local.Grants{Incarnation: 7, Seq: seq, TTLMillis: ttl.Milliseconds(), ExpiryUnixMilli: time.Now().Add(ttl).UnixMilli()}
		for n := range pollenlatch.Range(16) {
			g.Grants = append(g.Grants, pollenlatch.Grant{Shard: pollenlatch.Shard{Service: "claims", Range: n}, Fence: ownerFence})
		}
		require.NoError(t, s.SetGrants(g))
	}
	grant(2 * time.Second)
	after := func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	after(500*time.Millisecond, s.Freeze)
	after(900*time.Millisecond, s.Thaw)
	after(1100*time.Millisecond, func() { s.SetFault(sample.Fault{EveryNth: 3, TruncateAfter: 100}) })
	after(1500*time.Millisecond, func() { s.SetFault(sample.Fault{EveryNth: 4, Delay: time.Second}) })
	after(1800*time.Millisecond, func() { s.SetFault(sample.Fault{}) })
	after(3*time.Second, func() { grant(time.Hour) })

	cfg := testConfig()
	cfg.Rate, cfg.Duration, cfg.Seed, cfg.MaxAttempts, cfg.Timeout = 250, 4*time.Second, seed, 4, 400*time.Millisecond
	cfg.Kinds = append(cfg.Kinds, Kind{Name: "collect", Caller: "mender", Weight: 1, Method: http.MethodPost})
	r, results := runLoad(t, cfg, frontHandler(h))
	outcomes := map[pollenlatch.Outcome]int{}
	for _, res := range results {
		outcomes[res.Outcome]++
		runs := s.Ledger().Count(res.ID)
		if res.Outcome == pollenlatch.OutcomeNotRun && !res.Unsure {
			require.Zero(t, runs, "%+v", res)
		}
		if res.Method != http.MethodGet {
			require.LessOrEqual(t, runs, 1, "%+v", res)
		}
		if res.Good() {
			require.Positive(t, runs, "%+v", res)
		}
	}
	t.Logf("%s %+v %v", r, s.Stats(), r.Total.Reasons)
	for _, out := range []pollenlatch.Outcome{pollenlatch.OutcomeRan, pollenlatch.OutcomeNotRun, pollenlatch.OutcomeUnknown} {
		require.Positive(t, outcomes[out], "no request has the outcome %v", out)
	}
	require.LessOrEqual(t, s.Stats().PeakSlots, int64(4))
	require.Positive(t, s.Stats().Shed)
	require.Positive(t, s.Stats().Refused)
	running, waiting := admitter.Load()
	require.Equal(t, []int64{0, 0, 0}, []int64{int64(running), int64(waiting), control.inFlight.Load()}, "requests counted after the end of the run")
}
