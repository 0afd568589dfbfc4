package store

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
	"pollenlatch/quorum"
)

// A frame consists of a header and a payload. The header holds, in little endian,
// the length of the payload (4 bytes), the sequence number (8), and the xxhash64
// of length, sequence number and payload (8).
const (
	headerBytes     = 20
	checksumOffset  = 12
	maxPayloadBytes = 1 << 30 // bytes
)

var (
	// ErrCorrupt is the error of a damaged data folder. The voter must be replaced.
	ErrCorrupt         = errors.New("data folder is damaged")
	errPayloadTooLarge = errors.New("payload of a frame is larger than 1 GiB")
)

// batch is the payload of a frame of the log. It takes effect as a whole.
type batch struct {
	HardState    quorum.HardState `protobuf:"bytes,1,opt,name=hard"`
	TruncateFrom uint64           `protobuf:"varint,2,opt,name=truncate"` // entries from this index on are dropped before Entries are appended; 0 drops none
	Entries      []quorum.Entry   `protobuf:"bytes,3,rep,name=entries"`
}

// Check returns an error unless the entries are contiguous and their terms are not
// higher than that of HardState.
func (b *batch) Check() error {
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0]
	if first.Index == 0 {
		return quorum.ErrNotContiguous
	}
	return quorum.CheckEntries(b.Entries, first.Index-1, first.Term, b.HardState.Term)
}

// snapshotFile is the payload of the frame in a snapshot's file.
type snapshotFile struct {
	Snapshot quorum.Snapshot `protobuf:"bytes,1,opt,name=snapshot"`
}

// Check returns an error unless the snapshot has an index, a term and voters.
func (s *snapshotFile) Check() error {
	if s.Snapshot.Index == 0 || s.Snapshot.Term == 0 || len(s.Snapshot.Members) == 0 {
		return errors.New("snapshot has no index, term or voters")
	}
	return nil
}

// encodeFrame returns a frame with an encoded message as its payload.
func encodeFrame(seq uint64, v any) ([]byte, error) {
	payload, err := pollenlatch.Encode(v)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayloadBytes {
		return nil, errPayloadTooLarge
	}
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[4:], seq)
	b = append(b, payload...)
	binary.LittleEndian.PutUint64(b[checksumOffset:], frameChecksum(b))
	return b, nil
}

func frameChecksum(frame []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(frame[:checksumOffset])
	_, _ = d.Write(frame[headerBytes:])
	return d.Sum64()
}

// parseFrame returns the payload of the first frame and the bytes after the frame.
// ok is false when the frame is incomplete or its checksum does not match.
func parseFrame(b []byte) (seq uint64, payload, rest []byte, ok bool) {
	if len(b) < headerBytes {
		return 0, nil, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(b))
	if size > maxPayloadBytes || size > uint64(len(b)-headerBytes) {
		return 0, nil, nil, false
	}
	end := headerBytes + int(size)
	if frameChecksum(b[:end]) != binary.LittleEndian.Uint64(b[checksumOffset:]) {
		return 0, nil, nil, false
	}
	return binary.LittleEndian.Uint64(b[4:]), b[headerBytes:end], b[end:], true
}

// readFrames calls apply with each batch of a segment, whose frames are numbered
// from seq on. It returns the next number and the length of the intact frames.
// In the last segment, a damaged frame is tolerated as a torn write if no later
// frame follows it, because a frame is written only after the previous one was
// synced. Any other damage is an error.
func readFrames(b []byte, seq uint64, isLast bool, apply func(*batch) error) (next uint64, size int64, err error) {
	rest := b
	for len(rest) > 0 {
		offset := len(b) - len(rest)
		frameSeq, payload, after, ok := parseFrame(rest)
		if !ok {
			if !isLast || hasLaterFrame(rest, seq) {
				return 0, 0, fmt.Errorf("%w: frame %d at byte %d cannot be read and is not the last one", ErrCorrupt, seq, offset)
			}
			return seq, int64(offset), nil
		}
		if frameSeq != seq {
			return 0, 0, fmt.Errorf("%w: found frame %d at byte %d, expected frame %d", ErrCorrupt, frameSeq, offset, seq)
		}
		var decoded batch
		if err := pollenlatch.Decode(payload, &decoded); err != nil {
			return 0, 0, fmt.Errorf("%w: frame %d at byte %d: %w", ErrCorrupt, seq, offset, err)
		}
		if err := apply(&decoded); err != nil {
			return 0, 0, fmt.Errorf("%w: frame %d at byte %d: %w", ErrCorrupt, seq, offset, err)
		}
		seq++
		rest = after
	}
	return seq, int64(len(b)), nil
}

// hasLaterFrame reports whether an intact frame with a number above seq begins
// anywhere after the first byte.
func hasLaterFrame(b []byte, seq uint64) bool {
	for i := 1; i+headerBytes <= len(b); i++ {
		frameSeq := binary.LittleEndian.Uint64(b[i+4:])
		if frameSeq <= seq || frameSeq-seq > uint64(len(b)) {
			continue
		}
		if _, _, _, ok := parseFrame(b[i:]); ok {
			return true
		}
	}
	return false
}
