package dedup

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"pollenlatch"
)

// MaxExportBytes bounds the encoded records of one shard, in bytes. They share the
// control session with lease renewals, which must not wait for long.
const MaxExportBytes = 1 << 20

// maxLeft is the longest time left, in milliseconds, that a Duration can hold.
const maxLeft = int64(math.MaxInt64 / time.Millisecond)

const recordOverhead = 96 // bytes of an encoded record without its strings and answer

// Errors of Export and Import.
var (
	ErrTooLarge        = errors.New("records exceed the bound of a hand-over")
	ErrStoreFull       = errors.New("no room for the records")
	ErrWrongShard      = errors.New("records are of another shard")
	ErrMalformedRecord = errors.New("malformed record")
)

// export is the encoding of the records of one shard.
type export struct {
	Shard   pollenlatch.Shard `protobuf:"bytes,1,opt,name=shard"`
	Records []exported        `protobuf:"bytes,2,rep,name=records"`
}

type exported struct {
	Caller      string                    `protobuf:"bytes,1,opt,name=caller"`
	Idempotency string                    `protobuf:"bytes,2,opt,name=idempotency"`
	Key         string                    `protobuf:"bytes,3,opt,name=key"`
	Head        uint64                    `protobuf:"fixed64,4,opt,name=head"`
	Body        uint64                    `protobuf:"fixed64,5,opt,name=body"`
	Size        int64                     `protobuf:"varint,6,opt,name=size"`
	Unknown     bool                      `protobuf:"varint,7,opt,name=unknown"`
	Left        int64                     `protobuf:"varint,8,opt,name=left"` // milliseconds until it expires
	Answer      *pollenlatch.ResponseHead `protobuf:"bytes,9,opt,name=answer"`
	Data        []byte                    `protobuf:"bytes,10,opt,name=data"`
}

// Check reports whether the records are well formed.
func (e *export) Check() error {
	if err := e.Shard.Check(); err != nil {
		return err
	}
	for i := range e.Records {
		r := &e.Records[i]
		if r.Idempotency == "" || r.Size < 0 || (r.Unknown && r.Answer != nil) {
			return fmt.Errorf("%w: number %d", ErrMalformedRecord, i)
		}
		if r.Answer != nil {
			if err := r.Answer.Check(); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
	}
	return nil
}

// of returns the records of a shard, the newest first, without requests that
// have not reached the server. The caller holds mu.
func (s *Store) of(shard pollenlatch.Shard) []*record {
	var out []*record
	for rec := range s.byPlace[place{shard.Service, shard.Range}] {
		if (shard.Key == "" || shard.Key == rec.key) && (rec.state != running || rec.began) {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		if n := b.expiry.Compare(a.expiry); n != 0 {
			return n
		}
		return slices.Compare([]string{a.caller, a.idempotency}, []string{b.caller, b.idempotency})
	})
	return out
}

// Export returns the encoded records of a shard for its next owner. Nothing of
// the shard should run: what has been started all the same is exported as unknown.
// Answers that do not fit into MaxExportBytes are left out, the oldest first. The
// error is ErrTooLarge when the records do not fit even without answers.
func (s *Store) Export(shard pollenlatch.Shard) ([]byte, error) {
	now := time.Now()
	s.mu.Lock()
	s.expire(now)
	e := export{Shard: shard}
	records := s.of(shard)
	room := MaxExportBytes
	for _, rec := range records {
		room -= recordOverhead + len(rec.caller) + len(rec.idempotency) + len(rec.key)
	}
	for _, rec := range records {
		x := encode(rec, now)
		if cost := 2*rec.cost + recordOverhead; rec.answer != nil && cost <= room {
			room -= cost
			head := rec.answer.head
			x.Answer = &head
			x.Data = rec.answer.body
		}
		e.Records = append(e.Records, x)
	}
	s.mu.Unlock()
	if room < 0 {
		return nil, fmt.Errorf("%w: %d records", ErrTooLarge, len(records))
	}
	return pollenlatch.Encode(&e)
}

func encode(rec *record, now time.Time) exported {
	x := exported{
		Caller:      rec.caller,
		Idempotency: rec.idempotency,
		Key:         rec.key,
		Head:        rec.head,
		Body:        rec.body,
		Size:        rec.size,
		Unknown:     rec.state != ran,
		Left:        rec.expiry.Sub(now).Milliseconds(),
	}
	if rec.state == running {
		x.Left = DefaultTTL.Milliseconds()
	}
	return x
}

// Import adds the records that the shard's former owner exported. Nothing is
// added when it returns an error; then the shard has to be treated as taken
// over without records.
func (s *Store) Import(shard pollenlatch.Shard, data []byte) error {
	var e export
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
	s.expire(now)
	added := 0 // the same records may be sent again
	for i := range e.Records {
		if s.byID[id{shard.Service, e.Records[i].Caller, e.Records[i].Idempotency}] == nil {
			added++
		}
	}
	if len(s.byID)+added > s.cfg.MaxRecords {
		return ErrStoreFull
	}
	// The newest come first, and the oldest answers are dropped first.
	for _, x := range slices.Backward(e.Records) {
		s.importOne(shard, x, now)
	}
	return nil
}

func (s *Store) importOne(shard pollenlatch.Shard, x exported, now time.Time) {
	rec := &record{
		id:    id{shard.Service, x.Caller, x.Idempotency},
		place: place{shard.Service, shard.Range},
		key:   x.Key,
		head:  x.Head,
		body:  x.Body,
		size:  x.Size,
		done:  make(chan struct{}),
		index: -1,
	}
	if old := s.byID[rec.id]; old != nil {
		// One that has not begun waits here under a former fence, so it will be
		// refused, and its record would go with it.
		if old.state == running && old.began {
			return
		}
		s.remove(old)
	}
	s.add(rec)
	st := ran
	if x.Unknown {
		st = unknown
	}
	var a *answer
	if x.Answer != nil {
		a = &answer{head: *x.Answer, body: x.Data}
	}
	s.finish(rec, st, a, now.Add(time.Duration(min(x.Left, maxLeft))*time.Millisecond))
}

// Drop forgets the finished records of a shard that another instance owns now.
func (s *Store) Drop(shard pollenlatch.Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.taken, shard)
	for _, rec := range s.of(shard) {
		if rec.state != running {
			s.remove(rec)
		}
	}
}
