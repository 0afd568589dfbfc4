package dedup

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"pollenlatch"
)

// MaxExportBytes is the maximum size of the encoded records of one shard. They share
// the control session with lease renewals, which must not wait for long.
const MaxExportBytes = 1 << 20

// maxLeftMs is the maximum value of exportedRecord.LeftMs that a Duration can hold.
const maxLeftMs = int64(math.MaxInt64 / time.Millisecond)

const recordOverheadBytes = 96 // of an encoded record without its strings and response

// Errors of Export and Import.
var (
	ErrTooLarge        = errors.New("idempotency records exceed the size limit of a hand-over")
	ErrStoreFull       = errors.New("store of idempotency records is full")
	ErrWrongShard      = errors.New("idempotency records belong to another shard")
	ErrMalformedRecord = errors.New("malformed idempotency record")
)

// exportedShard is the encoding of the records of one shard.
type exportedShard struct {
	Shard   pollenlatch.Shard `protobuf:"bytes,1,opt,name=shard"`
	Records []exportedRecord  `protobuf:"bytes,2,rep,name=records"`
}

type exportedRecord struct {
	Caller         string                    `protobuf:"bytes,1,opt,name=caller"`
	IdempotencyKey string                    `protobuf:"bytes,2,opt,name=idempotency"`
	RoutingKey     string                    `protobuf:"bytes,3,opt,name=key"`
	HeadDigest     uint64                    `protobuf:"fixed64,4,opt,name=head"`
	BodyDigest     uint64                    `protobuf:"fixed64,5,opt,name=body"`
	BodySize       int64                     `protobuf:"varint,6,opt,name=size"`
	Unknown        bool                      `protobuf:"varint,7,opt,name=unknown"`
	LeftMs         int64                     `protobuf:"varint,8,opt,name=left"` // milliseconds until the record expires
	ResponseHead   *pollenlatch.ResponseHead `protobuf:"bytes,9,opt,name=answer"`
	ResponseBody   []byte                    `protobuf:"bytes,10,opt,name=data"`
}

// Check reports whether the records are well formed.
func (e *exportedShard) Check() error {
	if err := e.Shard.Check(); err != nil {
		return err
	}
	for i := range e.Records {
		r := &e.Records[i]
		if r.IdempotencyKey == "" || r.BodySize < 0 || (r.Unknown && r.ResponseHead != nil) {
			return fmt.Errorf("%w: number %d", ErrMalformedRecord, i)
		}
		if r.ResponseHead != nil {
			if err := r.ResponseHead.Check(); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
	}
	return nil
}

// recordsOf returns the records of a shard, the newest first, without those of
// running requests that were not sent to the server yet. The caller must hold mu.
func (s *Store) recordsOf(shard pollenlatch.Shard) []*record {
	var out []*record
	for rec := range s.byRange[rangeID{shard.Service, shard.Range}] {
		if (shard.Key == "" || shard.Key == rec.routingKey) && (rec.state != stateRunning || rec.started) {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		if n := b.expiresAt.Compare(a.expiresAt); n != 0 {
			return n
		}
		return slices.Compare([]string{a.caller, a.idempotencyKey}, []string{b.caller, b.idempotencyKey})
	})
	return out
}

// Export returns the encoded records of a shard for its next owner. No request of the
// shard should be running; one that has been started is exported as unknown. Responses
// that do not fit into MaxExportBytes are left out, the oldest first. The error is
// ErrTooLarge when the records do not fit even without responses.
func (s *Store) Export(shard pollenlatch.Shard) ([]byte, error) {
	now := time.Now()
	s.mu.Lock()
	s.removeExpired(now)
	e := exportedShard{Shard: shard}
	records := s.recordsOf(shard)
	bytesLeft := MaxExportBytes
	for _, rec := range records {
		bytesLeft -= recordOverheadBytes + len(rec.caller) + len(rec.idempotencyKey) + len(rec.routingKey)
	}
	for _, rec := range records {
		r := toExported(rec, now)
		if cost := 2*rec.cost + recordOverheadBytes; rec.response != nil && cost <= bytesLeft {
			bytesLeft -= cost
			head := rec.response.head
			r.ResponseHead = &head
			r.ResponseBody = rec.response.body
		}
		e.Records = append(e.Records, r)
	}
	s.mu.Unlock()
	if bytesLeft < 0 {
		return nil, fmt.Errorf("%w: %d records", ErrTooLarge, len(records))
	}
	return pollenlatch.Encode(&e)
}

func toExported(rec *record, now time.Time) exportedRecord {
	r := exportedRecord{
		Caller:         rec.caller,
		IdempotencyKey: rec.idempotencyKey,
		RoutingKey:     rec.routingKey,
		HeadDigest:     rec.headDigest,
		BodyDigest:     rec.bodyDigest,
		BodySize:       rec.bodySize,
		Unknown:        rec.state != stateRan,
		LeftMs:         rec.expiresAt.Sub(now).Milliseconds(),
	}
	if rec.state == stateRunning {
		r.LeftMs = DefaultTTL.Milliseconds()
	}
	return r
}

// Import adds the records that the former owner of the shard exported. If it returns
// an error, no record was added, and the shard must be treated as taken over without
// records.
func (s *Store) Import(shard pollenlatch.Shard, data []byte) error {
	var e exportedShard
	if len(data) > MaxExportBytes {
		return ErrTooLarge
	}
	if err := pollenlatch.Decode(data, &e); err != nil {
		return err
	}
	if e.Shard != shard {
		return ErrWrongShard
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	added := 0 // fewer than the records of e if they are sent again
	for i := range e.Records {
		if s.byID[recordID{shard.Service, e.Records[i].Caller, e.Records[i].IdempotencyKey}] == nil {
			added++
		}
	}
	if len(s.byID)+added > s.cfg.MaxRecords {
		return ErrStoreFull
	}
	// The newest records come first, but the response that was stored first is dropped
	// first.
	for _, r := range slices.Backward(e.Records) {
		s.importRecord(shard, r, now)
	}
	return nil
}

func (s *Store) importRecord(shard pollenlatch.Shard, r exportedRecord, now time.Time) {
	rec := &record{
		recordID:   recordID{shard.Service, r.Caller, r.IdempotencyKey},
		rangeID:    rangeID{shard.Service, shard.Range},
		routingKey: r.RoutingKey,
		headDigest: r.HeadDigest,
		bodyDigest: r.BodyDigest,
		bodySize:   r.BodySize,
		done:       make(chan struct{}),
		heapIndex:  -1,
	}
	if old := s.byID[rec.recordID]; old != nil {
		// A request that has not started waits with a former fence. It will be refused,
		// which removes its record, so the imported record must replace it.
		if old.state == stateRunning && old.started {
			return
		}
		s.remove(old)
	}
	s.add(rec)
	state := stateRan
	if r.Unknown {
		state = stateUnknown
	}
	var resp *storedResponse
	if r.ResponseHead != nil {
		resp = &storedResponse{head: *r.ResponseHead, body: r.ResponseBody}
	}
	s.finish(rec, state, resp, now.Add(time.Duration(min(r.LeftMs, maxLeftMs))*time.Millisecond))
}

// Drop removes the records of finished requests of a shard that another instance owns
// now.
func (s *Store) Drop(shard pollenlatch.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.takeovers, shard)
	for _, rec := range s.recordsOf(shard) {
		if rec.state != stateRunning {
			s.remove(rec)
		}
	}
}
