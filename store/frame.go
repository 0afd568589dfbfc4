package store

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
	"pollenlatch/quorum"
)

// A frame is a header, little endian, and a payload:
// length of the payload (4 bytes), sequence number (8), xxhash64 of length,
// sequence number and payload (8).
const (
	headerBytes = 20
	sumOffset   = 12
	maxPayload  = 1 << 30 // bytes
)

// Errors of a damaged data folder. The voter must be replaced.
var (
	ErrCorrupt  = errors.New("data folder is damaged")
	errTooLarge = errors.New("batch is larger than 1 GiB")
)

// batch is what one frame of the log holds. It takes effect as a whole.
type batch struct {
	Hard     quorum.HardState `protobuf:"bytes,1,opt,name=hard"`
	Truncate uint64           `protobuf:"varint,2,opt,name=truncate"` // entries from this index on are dropped first
	Entries  []quorum.Entry   `protobuf:"bytes,3,rep,name=entries"`
}

// Check reports whether the entries are contiguous and not later than Hard.
func (b *batch) Check() error {
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0]
	if first.Index == 0 {
		return quorum.ErrNotContiguous
	}
	return quorum.CheckEntries(b.Entries, first.Index-1, first.Term, b.Hard.Term)
}

// snapshotFile is the content of a snapshot's file.
type snapshotFile struct {
	Snapshot quorum.Snapshot `protobuf:"bytes,1,opt,name=snapshot"`
}

// Check reports whether the snapshot has an index, a term and voters.
func (s *snapshotFile) Check() error {
	if s.Snapshot.Index == 0 || s.Snapshot.Term == 0 || len(s.Snapshot.Members) == 0 {
		return errors.New("snapshot lacks its index, term or voters")
	}
	return nil
}

// encodeFrame returns the frame of a message.
func encodeFrame(seq uint64, v any) ([]byte, error) {
	payload, err := pollenlatch.Encode(v)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayload {
		return nil, errTooLarge
	}
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[4:], seq)
	b = append(b, payload...)
	binary.LittleEndian.PutUint64(b[sumOffset:], frameSum(b))
	return b, nil
}

func frameSum(frame []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(frame[:sumOffset])
	_, _ = d.Write(frame[headerBytes:])
	return d.Sum64()
}

// cutFrame returns the first frame's payload and what follows it. ok is false
// when it is incomplete or its checksum differs.
func cutFrame(b []byte) (seq uint64, payload, rest []byte, ok bool) {
	if len(b) < headerBytes {
		return 0, nil, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(b))
	if size > maxPayload || size > uint64(len(b)-headerBytes) {
		return 0, nil, nil, false
	}
	end := headerBytes + int(size)
	if frameSum(b[:end]) != binary.LittleEndian.Uint64(b[sumOffset:]) {
		return 0, nil, nil, false
	}
	return binary.LittleEndian.Uint64(b[4:]), b[headerBytes:end], b[end:], true
}

// readFrames calls f with each batch of a segment, numbered from seq on. It
// returns the next number and the length of the whole frames. A damaged end is
// torn, and tolerated in the last segment, only if no later frame follows it:
// a frame is written after the one before was synced.
func readFrames(b []byte, seq uint64, last bool, f func(*batch) error) (next uint64, size int64, err error) {
	rest := b
	for len(rest) > 0 {
		offset := len(b) - len(rest)
		got, payload, after, ok := cutFrame(rest)
		if !ok {
			if !last || followed(rest, seq) {
				return 0, 0, fmt.Errorf("%w: frame %d at byte %d cannot be read and is not the last one", ErrCorrupt, seq, offset)
			}
			return seq, int64(offset), nil
		}
		if got != seq {
			return 0, 0, fmt.Errorf("%w: frame %d at byte %d stands where %d belongs", ErrCorrupt, got, offset, seq)
		}
		var x batch
		if err := pollenlatch.Decode(payload, &x); err != nil {
			return 0, 0, fmt.Errorf("%w: frame %d at byte %d: %w", ErrCorrupt, seq, offset, err)
		}
		if err := f(&x); err != nil {
			return 0, 0, fmt.Errorf("%w: frame %d at byte %d: %w", ErrCorrupt, seq, offset, err)
		}
		seq++
		rest = after
	}
	return seq, int64(len(b)), nil
}

// followed reports whether a whole frame with a number after seq begins
// somewhere after the first byte.
func followed(b []byte, seq uint64) bool {
	for i := 1; i+headerBytes <= len(b); i++ {
		got := binary.LittleEndian.Uint64(b[i+4:])
		if got <= seq || got-seq > uint64(len(b)) {
			continue
		}
		if _, _, _, ok := cutFrame(b[i:]); ok {
			return true
		}
	}
	return false
}
