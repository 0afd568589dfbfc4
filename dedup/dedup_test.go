package dedup

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenlatch"
)

var shard = pollenlatch.Shard{Service: "claims", Range: 3}

func newRequest(key, body string) *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{
			Service: "claims", Key: "lot-1", Caller: "mender", Method: "POST", URI: "/claim",
			Length: int64(len(body)), IdempotencyKey: key, Attempt: 1, Shard: shard, Fence: 20,
		},
		Deadline: time.Now().Add(time.Second),
		Body:     strings.NewReader(body),
	}
}

func begin(t *testing.T, s *Store, r *pollenlatch.Request) *Run {
	t.Helper()
	run, resp, err := s.Begin(t.Context(), r, BeginOptions{})
	require.NoError(t, err)
	require.Nil(t, resp)
	require.NotNil(t, run)
	return run
}

func newResponse(body string) *pollenlatch.Response {
	return &pollenlatch.Response{
		ResponseHead: pollenlatch.ResponseHead{Status: 201, Length: int64(len(body)), Header: []pollenlatch.Header{{Name: "X-A", Value: "b"}}},
		Body:         io.NopCloser(strings.NewReader(body)),
	}
}

// complete runs a request and stores its response.
func complete(t *testing.T, s *Store, r *pollenlatch.Request, body string) {
	t.Helper()
	run := begin(t, s, r)
	run.MarkStarted()
	_, err := io.ReadAll(run.Body())
	require.NoError(t, err)
	resp := run.RecordResponse(newResponse(body))
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

func requireReplay(t *testing.T, s *Store, r *pollenlatch.Request, body string) {
	t.Helper()
	run, resp, err := s.Begin(t.Context(), r, BeginOptions{})
	require.NoError(t, err)
	require.Nil(t, run, "the request would run a second time")
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
	require.Equal(t, newResponse(body).ResponseHead, resp.ResponseHead)
}

func requireFailure(t *testing.T, err error, o pollenlatch.Outcome, reason pollenlatch.Reason) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, []string{o.String(), string(reason)}, []string{f.Outcome.String(), string(f.Reason)}, f.Detail)
}

func requireRefused(t *testing.T, s *Store, r *pollenlatch.Request, opts BeginOptions, o pollenlatch.Outcome, reason pollenlatch.Reason) {
	t.Helper()
	run, _, err := s.Begin(t.Context(), r, opts)
	require.Nil(t, run, "the request would run")
	requireFailure(t, err, o, reason)
}

// A retry that runs a second time duplicates its effect, such as a claim. A retry that
// gets the response of another request hides that its own request never ran.
func TestRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{MaxBodyBytes: 100})
		complete(t, s, newRequest("a", "bale 1"), "claimed")
		requireReplay(t, s, newRequest("a", "bale 1"), "claimed")
		requireReplay(t, s, newRequest("a", "bale 1"), "claimed")
		requireRefused(t, s, newRequest("a", "bale 2"), BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict)
		other := newRequest("a", "bale 1")
		other.URI = "/cancel"
		requireRefused(t, s, other, BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict)
		other = newRequest("a", "bale 1")
		other.Caller = "cooperative"
		complete(t, s, other, "theirs")

		complete(t, s, newRequest("long", "x"), strings.Repeat("y", 101))
		requireRefused(t, s, newRequest("long", "x"), BeginOptions{}, pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry)
		run := begin(t, s, newRequest("empty", "x"))
		require.NoError(t, run.RecordResponse(newResponse("")).Body.Close())
		requireReplay(t, s, newRequest("empty", "x"), "")

		<-time.After(DefaultTTL)
		complete(t, s, newRequest("a", "bale 2"), "claimed again")
		n, _ := s.Size()
		require.Equal(t, 1, n, "records were kept after their TTL")
	})
}

// The record must show how the first run ended. A record that remains although the
// request did not run blocks the key; a record that is removed although it may have
// run lets it run twice.
func TestRunOutcomes(t *testing.T) {
	errTruncated := errors.New("truncated")
	for _, c := range []struct {
		name    string
		end     func(run *Run)
		outcome pollenlatch.Outcome // of the retry; OutcomeNotRun means that it runs
	}{
		{"not run", func(run *Run) { run.Fail(pollenlatch.OutcomeNotRun) }, pollenlatch.OutcomeNotRun},
		{"unknown", func(run *Run) { run.Fail(pollenlatch.OutcomeUnknown) }, pollenlatch.OutcomeUnknown},
		{"not run after unknown", func(run *Run) {
			run.Fail(pollenlatch.OutcomeUnknown)
			run.Fail(pollenlatch.OutcomeNotRun)
		}, pollenlatch.OutcomeUnknown},
		{"body closed early", func(run *Run) { _ = run.RecordResponse(newResponse("claimed")).Body.Close() }, pollenlatch.OutcomeUnknown},
		{"body truncated", func(run *Run) {
			resp := newResponse("claimed")
			resp.Body = io.NopCloser(io.MultiReader(resp.Body, errReader{errTruncated}))
			_, _ = io.ReadAll(run.RecordResponse(resp).Body)
		}, pollenlatch.OutcomeUnknown},
		{"body truncated with a wrapped EOF", func(run *Run) {
			resp := newResponse("claimed")
			resp.Body = io.NopCloser(io.MultiReader(resp.Body, errReader{fmt.Errorf("truncated: %w", io.EOF)}))
			_, _ = io.ReadAll(run.RecordResponse(resp).Body)
		}, pollenlatch.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{})
				run := begin(t, s, newRequest("a", "x"))
				waiting := make(chan error, 1)
				go func() {
					again, _, err := s.Begin(t.Context(), newRequest("a", "x"), BeginOptions{})
					if again != nil {
						again.Fail(pollenlatch.OutcomeNotRun)
					}
					waiting <- err
				}()
				synctest.Wait()
				require.Empty(t, waiting, "the retry did not wait for the first run")
				c.end(run)
				err := <-waiting
				if c.outcome == pollenlatch.OutcomeNotRun {
					require.NoError(t, err)
					n, _ := s.Size()
					require.Zero(t, n)
					return
				}
				requireFailure(t, err, c.outcome, pollenlatch.ReasonUnknownRetry)
				requireRefused(t, s, newRequest("a", "x"), BeginOptions{}, c.outcome, pollenlatch.ReasonUnknownRetry)
			})
		})
	}
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// A retry that stops waiting for the first run must not report that the request did
// not run.
func TestWaitTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		begin(t, s, newRequest("a", "x"))
		requireRefused(t, s, newRequest("a", "x"), BeginOptions{}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := s.Begin(ctx, newRequest("a", "x"), BeginOptions{})
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled)
	})
}

// A retry that runs because its record was lost with the former owner duplicates its
// effect, such as a charge. Refusing other requests makes the key unavailable.
func TestTakeoverWithoutRecords(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt uint32
		opts    BeginOptions
		wait    time.Duration
		runs    bool
	}{
		{"first attempt", 1, BeginOptions{NoRecords: true, Fence: 20}, 0, true},
		{"retry", 2, BeginOptions{NoRecords: true, Fence: 20}, 0, false},
		{"retry with records", 2, BeginOptions{Fence: 20}, 0, true},
		{"retry after the TTL of the records", 2, BeginOptions{NoRecords: true, Fence: 20}, DefaultTTL, true},
		{"retry after a second takeover without records", 2, BeginOptions{NoRecords: true, Fence: 21}, DefaultTTL, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{})
				first, _, err := s.Begin(t.Context(), newRequest("b", "x"), BeginOptions{NoRecords: true, Fence: 20})
				require.NoError(t, err)
				first.Fail(pollenlatch.OutcomeNotRun)
				<-time.After(c.wait)
				r := newRequest("a", "x")
				r.Attempt = c.attempt
				if !c.runs {
					requireRefused(t, s, r, c.opts, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry)
					return
				}
				run, _, err := s.Begin(t.Context(), r, c.opts)
				require.NoError(t, err)
				require.NotNil(t, run)
			})
		})
	}
}

// Unlimited memory would end the daemon, and a record that is dropped to save memory
// would let a request run twice.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{MaxRecords: 3, MaxBytes: 30})
		for _, key := range []string{"a", "b", "c"} {
			complete(t, s, newRequest(key, "x"), "claimed 1234") // 16 bytes with the header
			_, bytes := s.Size()
			require.LessOrEqual(t, bytes, 30)
		}
		requireRefused(t, s, newRequest("a", "x"), BeginOptions{}, pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry)
		requireReplay(t, s, newRequest("c", "x"), "claimed 1234")
		requireRefused(t, s, newRequest("d", "x"), BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull)
		<-time.After(DefaultTTL)
		complete(t, s, newRequest("d", "x"), "claimed")
	})
}

// Concurrent attempts of a request must not both run. That is the failure that the
// package prevents.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ends := rapid.SliceOfN(rapid.IntRange(0, 2), 2, 12).Draw(rt, "ends")
		synctest.Test(t, func(t *testing.T) {
			s := New(Config{})
			var mu sync.Mutex
			runs := 0
			var wg sync.WaitGroup
			for i, end := range ends {
				wg.Go(func() {
					<-time.After(time.Duration(i%3) * time.Millisecond)
					run, resp, err := s.Begin(t.Context(), newRequest("a", "x"), BeginOptions{})
					if run == nil {
						require.True(t, resp != nil || err != nil)
						return
					}
					<-time.After(5 * time.Millisecond)
					if end == 0 {
						run.Fail(pollenlatch.OutcomeNotRun)
						return
					}
					mu.Lock()
					runs++
					mu.Unlock()
					if end == 1 {
						run.Fail(pollenlatch.OutcomeUnknown)
						return
					}
					_, _ = io.ReadAll(run.RecordResponse(newResponse("claimed")).Body)
				})
			}
			wg.Wait()
			require.LessOrEqual(t, runs, 1)
		})
	})
}

// A retry that arrives after a hand-over must find the record of the first run at the
// new owner.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := New(Config{}), New(Config{MaxRecords: 5})
		complete(t, from, newRequest("a", "x"), "claimed")
		begin(t, from, newRequest("b", "x")).Fail(pollenlatch.OutcomeUnknown)
		begin(t, from, newRequest("started", "x")).MarkStarted()
		begin(t, from, newRequest("queued", "x"))
		hot := newRequest("hot", "x")
		hot.Key = "lot-2"
		complete(t, from, hot, "claimed")
		<-time.After(DefaultTTL - time.Second)

		data, err := from.Export(shard)
		require.NoError(t, err)
		require.ErrorIs(t, to.Import(pollenlatch.Shard{Service: "claims", Range: 4}, data), ErrWrongShard)
		require.Error(t, to.Import(shard, data[:len(data)-1]))
		n, _ := to.Size()
		require.Zero(t, n, "records of a refused import were kept")
		require.ErrorIs(t, New(Config{MaxRecords: 3}).Import(shard, data), ErrStoreFull)

		for range 2 { // sent twice because an acknowledgement was lost
			require.NoError(t, to.Import(shard, data))
		}
		requireReplay(t, to, newRequest("a", "x"), "claimed")
		requireRefused(t, to, newRequest("a", "y"), BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict)
		requireRefused(t, to, newRequest("b", "x"), BeginOptions{}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry)
		requireRefused(t, to, newRequest("started", "x"), BeginOptions{}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry)
		begin(t, to, newRequest("queued", "x"))
		<-time.After(time.Second)
		begin(t, to, newRequest("a", "x")) // the record has expired here, too

		single := New(Config{})
		data, err = from.Export(pollenlatch.Shard{Service: "claims", Range: 3, Key: "lot-2"})
		require.NoError(t, err)
		require.NoError(t, single.Import(pollenlatch.Shard{Service: "claims", Range: 3, Key: "lot-2"}, data))
		n, _ = single.Size()
		require.Zero(t, n, "expired records were exported")

		from.Drop(shard)
		n, _ = from.Size()
		require.Equal(t, 2, n, "only records of running requests are kept")
	})
}

// An export above its limit would delay lease renewals.
func TestExportLimit(t *testing.T) {
	s := New(Config{})
	for n := range 20 {
		complete(t, s, newRequest(fmt.Sprint(n), "x"), strings.Repeat("y", DefaultMaxBodyBytes))
	}
	data, err := s.Export(shard)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), MaxExportBytes)
	to := New(Config{})
	require.NoError(t, to.Import(shard, data))
	requireRefused(t, to, newRequest("0", "x"), BeginOptions{}, pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry)
	requireReplay(t, to, newRequest("19", "x"), strings.Repeat("y", DefaultMaxBodyBytes))
	for n := range MaxExportBytes / recordOverheadBytes {
		begin(t, s, newRequest(fmt.Sprint("many", n), "")).Fail(pollenlatch.OutcomeUnknown)
	}
	_, err = s.Export(shard)
	require.ErrorIs(t, err, ErrTooLarge)
}

// BenchmarkMemory reports the memory of records without their responses.
func BenchmarkMemory(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New(Config{})
		for n := range records {
			run, _, err := s.Begin(b.Context(), newRequest(fmt.Sprintf("0d9b7a1c-4f2e-4c1b-9d65-%012d", n), ""), BeginOptions{})
			require.NoError(b, err)
			run.Fail(pollenlatch.OutcomeUnknown)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(s)
	}
}

// Malformed bytes from another daemon must not crash this one.
func FuzzImport(f *testing.F) {
	s := New(Config{})
	data, err := s.Export(shard)
	require.NoError(f, err)
	f.Add(data)
	e := exportedShard{Shard: shard, Records: []exportedRecord{{IdempotencyKey: "a", LeftMs: 1 << 62, ResponseHead: &pollenlatch.ResponseHead{Status: 200}}}}
	data, err = pollenlatch.Encode(&e)
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(Config{MaxRecords: 100})
		if err := s.Import(shard, data); err != nil {
			n, _ := s.Size()
			require.Zero(t, n, "records of a refused import were kept")
		}
	})
}

// A request may wait for a slot here while its shard moves to another owner, where a
// retry runs, and comes back with the record of that run. If the import kept the record
// of the waiting request, which is refused later, the next retry would run a second
// time.
func TestImportReplacesRequestThatDidNotStart(t *testing.T) {
	here, there := New(Config{}), New(Config{})
	waiting := begin(t, here, newRequest("a", "abc"))
	complete(t, there, newRequest("a", "abc"), "claimed")
	data, err := there.Export(shard)
	require.NoError(t, err)
	require.NoError(t, here.Import(shard, data))
	waiting.Fail(pollenlatch.OutcomeNotRun)
	requireReplay(t, here, newRequest("a", "abc"), "claimed")
}
