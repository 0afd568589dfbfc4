// Package dedup keeps idempotency records. They hold the result of the first run of
// a request with an idempotency key, so that a retry gets the first response instead
// of a second run.
//
// At the limit of bytes the oldest responses are dropped; a retry of such a request
// fails with the outcome that it ran. At the limit of records new requests are
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
	// DefaultMaxRecords is enough for 333 requests/s with an idempotency key during
	// DefaultTTL. BenchmarkMemory measures the memory of a record without its
	// response.
	DefaultMaxRecords   = 100_000
	DefaultMaxBytes     = 32 << 20 // of all responses
	DefaultMaxBodyBytes = 64 << 10 // of one response
	DefaultTTL          = 5 * time.Minute
)

const retryAfter = time.Second

// Config sets the limits of a store. Zero fields have defaults.
type Config struct {
	MaxRecords   int // including those of running requests
	MaxBytes     int // of the bodies and headers of all responses
	MaxBodyBytes int // of the body of one response; a longer one is not kept
}

// BeginOptions are the properties of a request's service and shard that Begin needs.
type BeginOptions struct {
	TTL        time.Duration     // of the record; 0 is DefaultTTL
	Fence      pollenlatch.Fence // of the shard
	NoRecords  bool              // the shard was taken over without its records
	RoutingKey string            // key by which the request was routed; empty is the key of the request
}

// recordID identifies a request with an idempotency key. Each caller has its own key
// space.
type recordID struct{ service, caller, idempotencyKey string }

// rangeID identifies a key range of a service.
type rangeID struct {
	service  string
	keyRange pollenlatch.Range
}

type runState int

const (
	stateRunning runState = iota
	stateRan              // with its response, unless that was dropped
	stateUnknown
)

// record is the idempotency record of one request.
type record struct {
	recordID
	rangeID    rangeID
	routingKey string // key by which the request was routed
	headDigest uint64 // digest of the request without its body
	bodyDigest uint64 // digest of the first bodySize bytes of the body
	bodySize   int64

	state     runState
	started   bool          // the request may have reached the server
	done      chan struct{} // closed at the end of the run; guarded by Store.mu
	expiresAt time.Time
	heapIndex int             // in Store.expiry; -1 while running
	element   *list.Element   // in Store.responses; nil without a response
	cost      int             // bytes of the response
	response  *storedResponse // nil: not kept
}

type storedResponse struct {
	head pollenlatch.ResponseHead
	body []byte
}

// Store keeps the records of one daemon. Use New.
type Store struct {
	cfg Config

	mu        sync.Mutex
	byID      map[recordID]*record
	byRange   map[rangeID]map[*record]struct{}
	takeovers map[pollenlatch.Shard]takeover
	expiry    expiryHeap
	responses list.List // records with a response, oldest at the front
	bytes     int
}

// takeover is the time at which a request for a shard that was taken over without
// its records first arrived with a fence.
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
		cfg:       cfg,
		byID:      map[recordID]*record{},
		byRange:   map[rangeID]map[*record]struct{}{},
		takeovers: map[pollenlatch.Shard]takeover{},
	}
}

// Size returns the number of records and the bytes of the kept responses.
func (s *Store) Size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID), s.bytes
}

// Begin starts the first run of a request with an idempotency key, and returns its
// Run. If the request has run before, Begin returns the first response instead; if
// the first run is in progress, Begin waits for its end until r.Deadline. The error
// is a *pollenlatch.Failure.
func (s *Store) Begin(ctx context.Context, r *pollenlatch.Request, opts BeginOptions) (*Run, *pollenlatch.Response, error) {
	if opts.TTL <= 0 {
		opts.TTL = DefaultTTL
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	head := digestHead(r)
	for {
		rec, done, f := s.findOrCreate(r, head, opts)
		switch {
		case f != nil:
			return nil, nil, f
		case done == nil:
			return newRun(s, rec, r, opts.TTL), nil, nil
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, nil, waitFailed(ctx)
		}
		resp, notRun, f := s.replay(rec, r)
		if f != nil {
			return nil, nil, f
		}
		if !notRun {
			return nil, resp, nil
		}
	}
}

// findOrCreate returns the record of a request and a channel that is closed at the
// end of its run. When there is no record, it creates one and returns a nil channel.
func (s *Store) findOrCreate(r *pollenlatch.Request, head uint64, opts BeginOptions) (rec *record, done <-chan struct{}, f *pollenlatch.Failure) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	k := recordID{r.Service, r.Caller, r.IdempotencyKey}
	if rec = s.byID[k]; rec != nil {
		if rec.headDigest != head {
			return nil, nil, keyConflict()
		}
		return rec, rec.done, nil
	}
	if s.mayBeLost(r, opts, now) {
		return nil, nil, recordsLost()
	}
	if len(s.byID) >= s.cfg.MaxRecords {
		return nil, nil, storeFull()
	}
	key := opts.RoutingKey
	if key == "" {
		key = r.Key
	}
	rec = &record{
		recordID:   k,
		rangeID:    rangeID{r.Service, r.Shard.Range},
		routingKey: key,
		headDigest: head,
		done:       make(chan struct{}),
		heapIndex:  -1,
	}
	s.add(rec)
	return rec, nil, nil
}

// mayBeLost reports whether r is a retry of a request whose record may have been
// lost when the shard was taken over. After one TTL it would have expired anyway.
func (s *Store) mayBeLost(r *pollenlatch.Request, opts BeginOptions, now time.Time) bool {
	if !opts.NoRecords {
		return false
	}
	t, ok := s.takeovers[r.Shard]
	if !ok || t.fence != opts.Fence {
		t = takeover{opts.Fence, now}
		s.takeovers[r.Shard] = t
	}
	return r.Attempt >= 2 && now.Sub(t.since) < opts.TTL
}

// replay returns the response of a request whose first run has ended. notRun means
// that the first attempt did not run, so that r may run.
func (s *Store) replay(rec *record, r *pollenlatch.Request) (resp *pollenlatch.Response, notRun bool, f *pollenlatch.Failure) {
	s.mu.Lock()
	if s.byID[rec.recordID] != rec {
		s.mu.Unlock()
		return nil, true, nil
	}
	state, stored, size, body := rec.state, rec.response, rec.bodySize, rec.bodyDigest
	s.mu.Unlock()
	if !bodyMatches(r, size, body) {
		return nil, false, keyConflict()
	}
	switch {
	case state == stateUnknown:
		return nil, false, outcomeUnknown()
	case stored == nil:
		return nil, false, responseDropped()
	default:
		return stored.toResponse(), false, nil
	}
}

// add adds a record to the indexes. The caller must hold mu.
func (s *Store) add(rec *record) {
	s.byID[rec.recordID] = rec
	m := s.byRange[rec.rangeID]
	if m == nil {
		m = map[*record]struct{}{}
		s.byRange[rec.rangeID] = m
	}
	m[rec] = struct{}{}
}

// remove removes a record. The caller must hold mu.
func (s *Store) remove(rec *record) {
	if s.byID[rec.recordID] == rec {
		delete(s.byID, rec.recordID)
	}
	m := s.byRange[rec.rangeID]
	delete(m, rec)
	if len(m) == 0 {
		delete(s.byRange, rec.rangeID)
	}
	s.dropResponse(rec)
	if rec.heapIndex >= 0 {
		heap.Remove(&s.expiry, rec.heapIndex)
	}
}

// finish ends the run of a record and stores its response. It drops the oldest
// responses above the limit of bytes. The caller must hold mu.
func (s *Store) finish(rec *record, state runState, resp *storedResponse, expiresAt time.Time) {
	rec.state = state
	rec.expiresAt = expiresAt
	heap.Push(&s.expiry, rec)
	if resp != nil {
		rec.response = resp
		rec.cost = resp.cost()
		rec.element = s.responses.PushBack(rec)
		s.bytes += rec.cost
	}
	for s.bytes > s.cfg.MaxBytes {
		s.dropResponse(s.responses.Front().Value.(*record))
	}
	close(rec.done)
	rec.done = closedChan // frees the channel, which would use 96 bytes until the record expires
}

// closedChan is the shared done channel of all records whose run has ended.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (s *Store) dropResponse(rec *record) {
	if rec.element == nil {
		return
	}
	s.responses.Remove(rec.element)
	s.bytes -= rec.cost
	rec.element = nil
	rec.response = nil
}

func (s *Store) removeExpired(now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].expiresAt) {
		s.remove(s.expiry[0])
	}
}

// digestHead returns the digest of the parts of a request, except its body, by which
// a retry must equal the first attempt.
func digestHead(r *pollenlatch.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, v := range [...]string{r.Method, r.URI, r.Key, r.Kind, strconv.FormatInt(r.Length, 10)} {
		_, _ = d.WriteString(v)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func failure(o pollenlatch.Outcome, reason pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: o, Reason: reason, Status: status, Detail: detail}
}

func keyConflict() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonKeyConflict, http.StatusUnprocessableEntity,
		"the idempotency key was used for another request")
}

func recordsLost() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, http.StatusConflict,
		"the key's range was taken over without records of earlier requests")
}

func outcomeUnknown() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, http.StatusConflict, "it is unknown whether an earlier attempt of the request ran")
}

func responseDropped() *pollenlatch.Failure {
	return failure(pollenlatch.OutcomeRan, pollenlatch.ReasonUnknownRetry, http.StatusConflict, "the request ran, but its response is no longer kept")
}

func storeFull() *pollenlatch.Failure {
	f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, http.StatusServiceUnavailable, "the store of idempotency records is full")
	f.RetryAfter = retryAfter
	return f
}

// waitFailed returns the failure of a retry that stopped waiting for the first run.
func waitFailed(ctx context.Context) *pollenlatch.Failure {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns the sentinel unwrapped
		return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "the first run of the request had not ended by the deadline")
	}
	return failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled, 499, "the caller disconnected while waiting for the first run of the request")
}

// expiryHeap orders finished records by the time at which they expire.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(v any) {
	rec := v.(*record)
	rec.heapIndex = len(*h)
	*h = append(*h, rec)
}

func (h *expiryHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	old[len(old)-1] = nil
	rec.heapIndex = -1
	*h = old[:len(old)-1]
	return rec
}
