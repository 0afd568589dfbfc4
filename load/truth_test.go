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

// owner is a Control of an instance that owns everything.
type owner struct{ inFlight atomic.Int64 }

// owned is the View of owner.
type owned struct{ pollenlatch.View }

const ownerFence = 20

func (o *owner) Self() pollenlatch.InstanceID { return 1 }
func (o *owner) View() pollenlatch.View       { return owned{} }
func (o *owner) Changed() <-chan struct{}     { return nil }
func (o *owner) Serving() error               { return nil }
func (owned) Version() pollenlatch.Version    { return 30 }

func (o *owner) Acquire(pollenlatch.Shard, pollenlatch.Fence) (pollenlatch.Permit, error) {
	o.inFlight.Add(1)
	return ownerPass{o}, nil
}

func (owned) Service(name string) (pollenlatch.Service, bool) {
	return pollenlatch.Service{Name: name, Keyed: true, RangeBits: 4}, true
}

func (owned) Owner(service, key string) (pollenlatch.Owner, bool) {
	s := pollenlatch.Shard{Service: service, Range: pollenlatch.RangeOf(service, key, 4)}
	return pollenlatch.Owner{Shard: s, Instance: 1, Fence: ownerFence}, true
}

type ownerPass struct{ o *owner }

func (p ownerPass) Check() error { return nil }
func (p ownerPass) Release()     { p.o.inFlight.Add(-1) }

func (p ownerPass) ReleaseAfter(d time.Duration) { time.AfterFunc(d, p.Release) }

// entry answers callers' HTTP by the pipeline, as far as the test needs it.
func entry(h pollenlatch.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("Pollen-Timeout"))
		attempt, _ := strconv.ParseUint(r.Header.Get("Pollen-Attempt"), 10, 32)
		q := &pollenlatch.Request{Deadline: time.Now().Add(time.Duration(ms) * time.Millisecond), Body: r.Body}
		q.Service, q.Key, q.Caller = r.Header.Get("Pollen-Service"), r.Header.Get("Pollen-Key"), r.Header.Get("Pollen-Caller")
		q.Method, q.URI, q.Length, q.Attempt = r.Method, r.RequestURI, r.ContentLength, uint32(attempt)
		q.IdempotencyKey, q.Idempotent = r.Header.Get("Idempotency-Key"), r.Method == http.MethodGet
		q.Header = []pollenlatch.Header{{Name: sample.HeaderRequestID, Value: r.Header.Get(sample.HeaderRequestID)}}
		own, _ := owned{}.Owner(q.Service, q.Key)
		q.Shard, q.Fence, q.Version = own.Shard, own.Fence, 30
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

// A caller that is told "not run" of what ran, or whose claim runs twice, is
// the fault that the whole system exists to prevent. The load goes through the
// pipeline to a sample server that freezes, fails, cuts answers and refuses.
func TestTruthUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { truth(t, seed) })
		})
	}
}

func truth(t *testing.T, seed uint64) {
	t.Helper()
	s, err := sample.New(sample.Config{
		Endpoint:    pollenlatch.Endpoint{Service: "claims", Slots: 4, MaxConns: 20, Fenced: true, Incarnation: 7},
		ServiceTime: 20 * time.Millisecond, Jitter: 1, Seed: seed, PaddingBytes: 2000,
	})
	require.NoError(t, err)
	ln := newListener()
	go func() { _ = s.Serve(ln) }()
	o := &owner{}
	l := relay.New(relay.Config{
		Dial:   func(context.Context, string) (net.Conn, error) { return ln.Dial() },
		MaxRun: func(string) time.Duration { return 300 * time.Millisecond },
	})
	defer func() {
		l.Close()
		_ = s.Close()
		<-s.Done()
	}()
	l.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 20})
	gate := admit.NewPriorityAdmitter(admit.Config{})
	gate.SetSlots(5) // one more than the server has, so that it sheds load
	h := serve.New(serve.Config{
		Control: o, Admitter: gate, Exchanger: l, Records: dedup.New(dedup.Config{}),
		Endpoint: func() (pollenlatch.Endpoint, bool) {
			return pollenlatch.Endpoint{Service: "claims", Ready: true}, true
		},
	})
	// The grants last through the first half, and come back for the last quarter.
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
	at := func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	at(500*time.Millisecond, s.Freeze)
	at(900*time.Millisecond, s.Thaw)
	at(1100*time.Millisecond, func() { s.SetFault(sample.Fault{EveryNth: 3, TruncateAfter: 100}) })
	at(1500*time.Millisecond, func() { s.SetFault(sample.Fault{EveryNth: 4, Delay: time.Second}) })
	at(1800*time.Millisecond, func() { s.SetFault(sample.Fault{}) })
	at(3*time.Second, func() { grant(time.Hour) })

	cfg := config()
	cfg.Rate, cfg.Duration, cfg.Seed, cfg.MaxAttempts, cfg.Timeout = 250, 4*time.Second, seed, 4, 400*time.Millisecond
	cfg.Kinds = append(cfg.Kinds, Kind{Name: "collect", Caller: "mender", Weight: 1, Method: http.MethodPost})
	r, results := run(t, cfg, entry(h))
	seen := map[pollenlatch.Outcome]int{}
	for _, res := range results {
		seen[res.Outcome]++
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
		require.Positive(t, seen[out], "the run shows no outcome %v", out)
	}
	require.LessOrEqual(t, s.Stats().PeakSlots, int64(4))
	require.Positive(t, s.Stats().Shed)
	require.Positive(t, s.Stats().Refused)
	running, waiting := gate.Load()
	require.Equal(t, []int64{0, 0, 0}, []int64{int64(running), int64(waiting), o.inFlight.Load()}, "counted after the end")
}
