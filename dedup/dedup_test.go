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

func request(key, body string) *pollenlatch.Request {
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

func response(body string) *pollenlatch.Response {
	return &pollenlatch.Response{
		ResponseHead: pollenlatch.ResponseHead{Status: 201, Length: int64(len(body)), Header: []pollenlatch.Header{{Name: "X-A", Value: "b"}}},
		Body:         io.NopCloser(strings.NewReader(body)),
	}
}

// complete runs a request to its end.
func complete(t *testing.T, s *Store, r *pollenlatch.Request, body string) {
	t.Helper()
	run := begin(t, s, r)
	run.MarkStarted()
	_, err := io.ReadAll(run.Body())
	require.NoError(t, err)
	resp := run.RecordResponse(response(body))
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

func requireAnswer(t *testing.T, s *Store, r *pollenlatch.Request, body string) {
	t.Helper()
	run, resp, err := s.Begin(t.Context(), r, BeginOptions{})
	require.NoError(t, err)
	require.Nil(t, run, "the request would run again")
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
	require.Equal(t, response(body).ResponseHead, resp.ResponseHead)
}

func requireFailure(t *testing.T, err error, o pollenlatch.Outcome, why pollenlatch.Reason) {
	t.Helper()
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, []string{o.String(), string(why)}, []string{f.Outcome.String(), string(f.Reason)}, f.Detail)
}

func refused(t *testing.T, s *Store, r *pollenlatch.Request, rule BeginOptions, o pollenlatch.Outcome, why pollenlatch.Reason) {
	t.Helper()
	run, _, err := s.Begin(t.Context(), r, rule)
	require.Nil(t, run, "the request would run")
	requireFailure(t, err, o, why)
}

// A repeat that runs again is a doubled claim; one that gets another request's
// answer hides that its own never ran.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{MaxBodyBytes: 100})
		complete(t, s, request("a", "bale 1"), "claimed")
		requireAnswer(t, s, request("a", "bale 1"), "claimed")
		requireAnswer(t, s, request("a", "bale 1"), "claimed")
		refused(t, s, request("a", "bale 2"), BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict)
		other := request("a", "bale 1")
		other.URI = "/cancel"
		refused(t, s, other, BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict)
		other = request("a", "bale 1")
		other.Caller = "cooperative"
		complete(t, s, other, "theirs")

		complete(t, s, request("long", "x"), strings.Repeat("y", 101))
		refused(t, s, request("long", "x"), BeginOptions{}, pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry)
		run := begin(t, s, request("empty", "x"))
		require.NoError(t, run.RecordResponse(response("")).Body.Close())
		requireAnswer(t, s, request("empty", "x"), "")

		<-time.After(DefaultTTL)
		complete(t, s, request("a", "bale 2"), "claimed again")
		n, _ := s.Size()
		require.Equal(t, 1, n, "records kept longer than their time")
	})
}

// Every end of the first run must leave what is true of it: a record left
// behind blocks the key, a record removed lets the request run twice.
func TestEnds(t *testing.T) {
	cut := errors.New("cut")
	for _, c := range []struct {
		name string
		end  func(run *Run)
		o    pollenlatch.Outcome // of the repeat; OutcomeNotRun means that it runs
	}{
		{"not run", func(run *Run) { run.Fail(pollenlatch.OutcomeNotRun) }, pollenlatch.OutcomeNotRun},
		{"unknown", func(run *Run) { run.Fail(pollenlatch.OutcomeUnknown) }, pollenlatch.OutcomeUnknown},
		{"unknown stays", func(run *Run) {
			run.Fail(pollenlatch.OutcomeUnknown)
			run.Fail(pollenlatch.OutcomeNotRun)
		}, pollenlatch.OutcomeUnknown},
		{"body closed early", func(run *Run) { _ = run.RecordResponse(response("claimed")).Body.Close() }, pollenlatch.OutcomeUnknown},
		{"body cut", func(run *Run) {
			resp := response("claimed")
			resp.Body = io.NopCloser(io.MultiReader(resp.Body, failing{cut}))
			_, _ = io.ReadAll(run.RecordResponse(resp).Body)
		}, pollenlatch.OutcomeUnknown},
		{"body cut with a wrapped EOF", func(run *Run) {
			resp := response("claimed")
			resp.Body = io.NopCloser(io.MultiReader(resp.Body, failing{fmt.Errorf("cut: %w", io.EOF)}))
			_, _ = io.ReadAll(run.RecordResponse(resp).Body)
		}, pollenlatch.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{})
				run := begin(t, s, request("a", "x"))
				waiting := make(chan error, 1)
				go func() {
					again, _, err := s.Begin(t.Context(), request("a", "x"), BeginOptions{})
					if again != nil {
						again.Fail(pollenlatch.OutcomeNotRun)
					}
					waiting <- err
				}()
				synctest.Wait()
				require.Empty(t, waiting, "the repeat did not wait for the first run")
				c.end(run)
				err := <-waiting
				if c.o == pollenlatch.OutcomeNotRun {
					require.NoError(t, err)
					n, _ := s.Size()
					require.Zero(t, n)
					return
				}
				requireFailure(t, err, c.o, pollenlatch.ReasonUnknownRetry)
				refused(t, s, request("a", "x"), BeginOptions{}, c.o, pollenlatch.ReasonUnknownRetry)
			})
		})
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// A repeat that gives up waiting must not say that nothing ran.
func TestWaitingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		begin(t, s, request("a", "x"))
		refused(t, s, request("a", "x"), BeginOptions{}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := s.Begin(ctx, request("a", "x"), BeginOptions{})
		requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled)
	})
}

// A repeat that runs because its record was lost with the former owner is a
// doubled charge; refusing more than that keeps a key without service.
func TestTakenOver(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt uint32
		rule    BeginOptions
		wait    time.Duration
		runs    bool
	}{
		{"first attempt", 1, BeginOptions{NoRecords: true, Fence: 20}, 0, true},
		{"repeat", 2, BeginOptions{NoRecords: true, Fence: 20}, 0, false},
		{"repeat with records", 2, BeginOptions{Fence: 20}, 0, true},
		{"repeat when records would be gone", 2, BeginOptions{NoRecords: true, Fence: 20}, DefaultTTL, true},
		{"repeat after another loss", 2, BeginOptions{NoRecords: true, Fence: 21}, DefaultTTL, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{})
				first, _, err := s.Begin(t.Context(), request("b", "x"), BeginOptions{NoRecords: true, Fence: 20})
				require.NoError(t, err)
				first.Fail(pollenlatch.OutcomeNotRun)
				<-time.After(c.wait)
				r := request("a", "x")
				r.Attempt = c.attempt
				if !c.runs {
					refused(t, s, r, c.rule, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry)
					return
				}
				run, _, err := s.Begin(t.Context(), r, c.rule)
				require.NoError(t, err)
				require.NotNil(t, run)
			})
		})
	}
}

// Memory without a bound ends the daemon; a record dropped to save memory lets
// a request run twice.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{MaxRecords: 3, MaxBytes: 30})
		for _, key := range []string{"a", "b", "c"} {
			complete(t, s, request(key, "x"), "claimed 1234") // 16 bytes with the header
			_, bytes := s.Size()
			require.LessOrEqual(t, bytes, 30)
		}
		refused(t, s, request("a", "x"), BeginOptions{}, pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry)
		requireAnswer(t, s, request("c", "x"), "claimed 1234")
		refused(t, s, request("d", "x"), BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull)
		<-time.After(DefaultTTL)
		complete(t, s, request("d", "x"), "claimed")
	})
}

// Two concurrent repeats that both run are the doubled charge that the package
// exists to prevent.
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
					run, resp, err := s.Begin(t.Context(), request("a", "x"), BeginOptions{})
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
					_, _ = io.ReadAll(run.RecordResponse(response("claimed")).Body)
				})
			}
			wg.Wait()
			require.LessOrEqual(t, runs, 1)
		})
	})
}

// A repeat that arrives after a planned move must find its first run at the
// new owner.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := New(Config{}), New(Config{MaxRecords: 5})
		complete(t, from, request("a", "x"), "claimed")
		begin(t, from, request("b", "x")).Fail(pollenlatch.OutcomeUnknown)
		begin(t, from, request("started", "x")).MarkStarted()
		begin(t, from, request("queued", "x"))
		hot := request("hot", "x")
		hot.Key = "lot-2"
		complete(t, from, hot, "claimed")
		<-time.After(DefaultTTL - time.Second)

		data, err := from.Export(shard)
		require.NoError(t, err)
		require.ErrorIs(t, to.Import(pollenlatch.Shard{Service: "claims", Range: 4}, data), ErrWrongShard)
		require.Error(t, to.Import(shard, data[:len(data)-1]))
		n, _ := to.Size()
		require.Zero(t, n, "a part of a refused hand-over was kept")
		require.ErrorIs(t, New(Config{MaxRecords: 3}).Import(shard, data), ErrStoreFull)

		for range 2 { // an acknowledgement was lost
			require.NoError(t, to.Import(shard, data))
		}
		requireAnswer(t, to, request("a", "x"), "claimed")
		refused(t, to, request("a", "y"), BeginOptions{}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict)
		refused(t, to, request("b", "x"), BeginOptions{}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry)
		refused(t, to, request("started", "x"), BeginOptions{}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry)
		begin(t, to, request("queued", "x"))
		<-time.After(time.Second)
		begin(t, to, request("a", "x")) // its time is over here, too

		single := New(Config{})
		data, err = from.Export(pollenlatch.Shard{Service: "claims", Range: 3, Key: "lot-2"})
		require.NoError(t, err)
		require.NoError(t, single.Import(pollenlatch.Shard{Service: "claims", Range: 3, Key: "lot-2"}, data))
		n, _ = single.Size()
		require.Zero(t, n, "all had expired")

		from.Drop(shard)
		n, _ = from.Size()
		require.Equal(t, 2, n, "only what still runs is kept")
	})
}

// A hand-over that exceeds its bound would hold up lease renewals.
func TestExportBound(t *testing.T) {
	s := New(Config{})
	for n := range 20 {
		complete(t, s, request(fmt.Sprint(n), "x"), strings.Repeat("y", DefaultMaxBodyBytes))
	}
	data, err := s.Export(shard)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), MaxExportBytes)
	to := New(Config{})
	require.NoError(t, to.Import(shard, data))
	refused(t, to, request("0", "x"), BeginOptions{}, pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry)
	requireAnswer(t, to, request("19", "x"), strings.Repeat("y", DefaultMaxBodyBytes))
	for n := range MaxExportBytes / recordOverhead {
		begin(t, s, request(fmt.Sprint("many", n), "")).Fail(pollenlatch.OutcomeUnknown)
	}
	_, err = s.Export(shard)
	require.ErrorIs(t, err, ErrTooLarge)
}

// BenchmarkMemory reports the memory of records without their answers.
func BenchmarkMemory(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New(Config{})
		for n := range records {
			run, _, err := s.Begin(b.Context(), request(fmt.Sprintf("0d9b7a1c-4f2e-4c1b-9d65-%012d", n), ""), BeginOptions{})
			require.NoError(b, err)
			run.Fail(pollenlatch.OutcomeUnknown)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(s)
	}
}

// Bytes of another daemon that crash the decoder would end this one.
func FuzzImport(f *testing.F) {
	s := New(Config{})
	data, err := s.Export(shard)
	require.NoError(f, err)
	f.Add(data)
	e := export{Shard: shard, Records: []exported{{Idempotency: "a", Left: 1 << 62, Answer: &pollenlatch.ResponseHead{Status: 200}}}}
	data, err = pollenlatch.Encode(&e)
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(Config{MaxRecords: 100})
		if err := s.Import(shard, data); err != nil {
			n, _ := s.Size()
			require.Zero(t, n, "a part of refused records was kept")
		}
	})
}

// A request may wait for a slot here while its shard moves away, runs there for
// a repeat, and comes back with the record. If the record were dropped in favour
// of the waiting request, which is then refused, the next repeat would run again.
func TestImportReplacesRequestThatDidNotBegin(t *testing.T) {
	here, there := New(Config{}), New(Config{})
	waiting := begin(t, here, request("a", "abc"))
	complete(t, there, request("a", "abc"), "claimed")
	data, err := there.Export(shard)
	require.NoError(t, err)
	require.NoError(t, here.Import(shard, data))
	waiting.Fail(pollenlatch.OutcomeNotRun)
	requireAnswer(t, here, request("a", "abc"), "claimed")
}
