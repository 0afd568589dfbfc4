// Package dedup keeps idempotency records: what became of the first run of a
// request with an idempotency key, so that a repeat gets the first answer
// instead of a second run.
//
// At the bound of bytes the oldest answers are dropped; a repeat of such a
// request is told that it ran. At the bound of records new requests are
// refused as not run, because dropping a record could let a request run twice.
package dedup

import (
	"container/heap"
	"container/list"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// Defaults of Config.
const (
	// DefaultMaxRecords is 5 minutes of 333 requests/s with an idempotency key.
	// BenchmarkMemory shows what a record without its answer takes.
	DefaultMaxRecords   = 100_000
	DefaultMaxBytes     = 32 << 20 // of answers
	DefaultMaxBodyBytes = 64 << 10 // of one answer
	DefaultTTL          = 5 * time.Minute
)

const retryAfter = time.Second

// Config bounds a store. Zero fields have defaults.
type Config struct {
	MaxRecords   int // records, running requests included
	MaxBytes     int // of the bodies and headers of all answers
	MaxBodyBytes int // of the body of one answer; a longer one is not kept
}

// BeginOptions says how long records of a request's service are kept, and what is
// known of its shard.
type BeginOptions struct {
	TTL        time.Duration     // 0 is DefaultTTL
	Fence      pollenlatch.Fence // of the shard
	NoRecords  bool              // the shard was taken over without its records
	RoutingKey string            // by which the request was routed; empty: its own key
}

// id names a request with an idempotency key. Callers do not share keys.
type id struct{ service, caller, idempotency string }

// place is where the records of a range are found.
type place struct {
	service string
	part    pollenlatch.Range
}

type state int

const (
	running state = iota
	ran           // with its answer, unless that was dropped
	unknown
)

// record is what is known of one request.
type record struct {
	id
	place place
	key   string // by which the request was routed
	head  uint64 // digest of the request without its body
	body  uint64 // digest of the first size bytes of the body
	size  int64

	state  state
	began  bool          // the run may reach the server
	done   chan struct{} // closed when it no longer runs; guarded by the store's lock
	expiry time.Time
	index  int           // in the heap; -1 while running
	kept   *list.Element // in the list of answers
	cost   int           // bytes of the answer
	answer *answer       // nil: not kept
}

type answer struct {
	head pollenlatch.ResponseHead
	body []byte
}

// Store keeps the records of one daemon. Use New.
type Store struct {
	cfg Config

	mu      sync.Mutex
	byID    map[id]*record
	byPlace map[place]map[*record]struct{}
	taken   map[pollenlatch.Shard]takeover
	expiry  expiryHeap
	answers list.List // the oldest in front
	bytes   int
}

// takeover is when a shard without records was first seen under a fence.
type takeover struct {
	fence pollenlatch.Fence
	since time.Time
}

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return &Store{
		cfg:     cfg,
		byID:    map[id]*record{},
		byPlace: map[place]map[*record]struct{}{},
		taken:   map[pollenlatch.Shard]takeover{},
	}
}

// Size returns the number of records and the bytes of the kept answers.
func (s *Store) Size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID), s.bytes
}

// Begin starts the first run of a request that has an idempotency key, and
// returns its Run. If the request ran before, Begin returns the first answer
// instead; while that run lasts, it waits until r.Deadline. The error is a
// *pollenlatch.Failure.
func (s *Store) Begin(ctx context.Context, r *pollenlatch.Request, rule BeginOptions) (*Run, *pollenlatch.Response, error) {
	if rule.TTL <= 0 {
		rule.TTL = DefaultTTL
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	head := digest(r)
	for {
		rec, done, f := s.find(r, head, rule)
		switch {
		case f != nil:
			return nil, nil, f
		case done == nil:
			return newRun(s, rec, r, rule.TTL), nil, nil
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, nil, waited(ctx)
		}
		resp, again, f := s.repeat(rec, r)
		if f != nil {
			return nil, nil, f
		}
		if !again {
			return nil, resp, nil
		}
	}
}

// find returns the record of a request and a channel that is closed when its
// run has ended. When there is no record, it makes one; then done is nil and
// the request is the first.
func (s *Store) find(r *pollenlatch.Request, head uint64, rule BeginOptions) (rec *record, done <-chan struct{}, f *pollenlatch.Failure) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	k := id{r.Service, r.Caller, r.IdempotencyKey}
	if rec = s.byID[k]; rec != nil {
		if rec.head != head {
			return nil, nil, conflict()
		}
		return rec, rec.done, nil
	}
	if s.lost(r, rule, now) {
		return nil, nil, forgotten()
	}
	if len(s.byID) >= s.cfg.MaxRecords {
		return nil, nil, full()
	}
	key := rule.RoutingKey
	if key == "" {
		key = r.Key
	}
	rec = &record{
		id:    k,
		place: place{r.Service, r.Shard.Range},
		key:   key,
		head:  head,
		done:  make(chan struct{}),
		index: -1,
	}
	s.add(rec)
	return rec, nil, nil
}

// lost reports whether r repeats a request whose record may have been lost
// when the shard was taken over. After one TTL a record would be gone anyway.
func (s *Store) lost(r *pollenlatch.Request, rule BeginOptions, now time.Time) bool {
	if !rule.NoRecords {
		return false
	}
	t, ok := s.taken[r.Shard]
	if !ok || t.fence != rule.Fence {
		t = takeover{rule.Fence, now}
		s.taken[r.Shard] = t
	}
	return r.Attempt >= 2 && now.Sub(t.since) < rule.TTL
}

// repeat answers a request whose first run has ended. again means that the
// first did not run, so that this one may.
func (s *Store) repeat(rec *record, r *pollenlatch.Request) (resp *pollenlatch.Response, again bool, f *pollenlatch.Failure) {
	s.mu.Lock()
	if s.byID[rec.id] != rec {
		s.mu.Unlock()
		return nil, true, nil
	}
	st, a, size, body := rec.state, rec.answer, rec.size, rec.body
	s.mu.Unlock()
	if !sameBody(r, size, body) {
		return nil, false, conflict()
	}
	switch {
	case st == unknown:
		return nil, false, unclear()
	case a == nil:
		return nil, false, unkept()
	default:
		return a.response(), false, nil
	}
}

// add puts a record into the indexes. The caller holds mu.
func (s *Store) add(rec *record) {
	s.byID[rec.id] = rec
	m := s.byPlace[rec.place]
	if m == nil {
		m = map[*record]struct{}{}
		s.byPlace[rec.place] = m
	}
	m[rec] = struct{}{}
}

// remove forgets a record. The caller holds mu.
func (s *Store) remove(rec *record) {
	if s.byID[rec.id] == rec {
		delete(s.byID, rec.id)
	}
	m := s.byPlace[rec.place]
	delete(m, rec)
	if len(m) == 0 {
		delete(s.byPlace, rec.place)
	}
	s.dropAnswer(rec)
	if rec.index >= 0 {
		heap.Remove(&s.expiry, rec.index)
	}
}

// finish ends the run of a record and keeps the answer as far as there is
// room. The caller holds mu.
func (s *Store) finish(rec *record, st state, a *answer, expiry time.Time) {
	rec.state = st
	rec.expiry = expiry
	heap.Push(&s.expiry, rec)
	if a != nil {
		rec.answer = a
		rec.cost = a.cost()
		rec.kept = s.answers.PushBack(rec)
		s.bytes += rec.cost
	}
	for s.bytes > s.cfg.MaxBytes {
		s.dropAnswer(s.answers.Front().Value.(*record))
	}
	close(rec.done)
	rec.done = ended // the channel itself would take 96 bytes as long as the record lasts
}

// ended stands for the channel of every run that has ended.
var ended = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (s *Store) dropAnswer(rec *record) {
	if rec.kept == nil {
		return
	}
	s.answers.Remove(rec.kept)
	s.bytes -= rec.cost
	rec.kept = nil
	rec.answer = nil
}

func (s *Store) expire(now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].expiry) {
		s.remove(s.expiry[0])
	}
}

// digest covers what makes two requests the same, but for the body.
func digest(r *pollenlatch.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, v := range [...]string{r.Method, r.URI, r.Key, r.Kind, strconv.FormatInt(r.Length, 10)} {
		_, _ = d.WriteString(v)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func failure(o pollenlatch.Outcome, why pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: o, Reason: why, Status: status, Detail: detail}
}

func conflict() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict, http.StatusUnprocessableEntity,
		"the idempotency key was used for another request")
}

func forgotten() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, http.StatusConflict,
		"the key's range was taken over without records of earlier requests")
}

func unclear() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, http.StatusConflict, "it is not known whether the first run took place")
}

func unkept() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry, http.StatusConflict, "the request ran, but its answer is no longer kept")
}

func full() *pollenlatch.Failure {
	f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, http.StatusServiceUnavailable, "no room for another idempotency record")
	f.RetryAfter = retryAfter
	return f
}

// waited is for a repeat that gave up while the first run lasted.
func waited(ctx context.Context) *pollenlatch.Failure {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it as it is
		return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "the first run had not ended by the deadline")
	}
	return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled, 499, "the caller went away while the first run lasted")
}

// expiryHeap orders finished records by their expiry.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(v any) {
	rec := v.(*record)
	rec.index = len(*h)
	*h = append(*h, rec)
}

func (h *expiryHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	old[len(old)-1] = nil
	rec.index = -1
	*h = old[:len(old)-1]
	return rec
}
