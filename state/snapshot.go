package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// Errors of snapshots.
var (
	ErrFormat   = errors.New("not a snapshot of this format")
	ErrChecksum = errors.New("checksum of the snapshot does not match")
)

// SnapshotError says that a snapshot cannot be loaded.
type SnapshotError struct{ Err error }

// Error returns the cause.
func (e *SnapshotError) Error() string { return fmt.Sprintf("state snapshot: %v", e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// A snapshot is the magic, the protobuf encoding of an image, and the xxhash64
// of both.
const (
	magic   = "plstate1"
	sumSize = 8
)

type image struct {
	Version   pollenlatch.Version      `protobuf:"varint,1,opt,name=version"`
	Services  []serviceImage           `protobuf:"bytes,2,rep,name=services"`
	Callers   []pollenlatch.Caller     `protobuf:"bytes,3,rep,name=callers"`
	Voters    []pollenlatch.Member     `protobuf:"bytes,4,rep,name=voters"`
	Instances []instanceImage          `protobuf:"bytes,5,rep,name=instances"`
	Last      pollenlatch.InstanceID   `protobuf:"varint,6,opt,name=last"`
	Records   []recordImage            `protobuf:"bytes,7,rep,name=records"`
	Ticket    uint64                   `protobuf:"varint,8,opt,name=ticket"`
	Items     []pollenlatch.ConfigItem `protobuf:"bytes,9,rep,name=items"`
}

type serviceImage struct {
	Service pollenlatch.Service `protobuf:"bytes,1,opt,name=service"`
	Table   []byte              `protobuf:"bytes,2,opt,name=table"`
	Keys    []keyImage          `protobuf:"bytes,3,rep,name=keys"`
	Tokens  []tokenImage        `protobuf:"bytes,4,rep,name=tokens"`
}

type tokenImage struct {
	Range pollenlatch.Range `protobuf:"varint,1,opt,name=range"`
	Token string            `protobuf:"bytes,2,opt,name=token"`
}

type keyImage struct {
	Key       string                 `protobuf:"bytes,1,opt,name=key"`
	Instance  pollenlatch.InstanceID `protobuf:"varint,2,opt,name=instance"`
	Fence     pollenlatch.Fence      `protobuf:"varint,3,opt,name=fence"`
	Last      pollenlatch.InstanceID `protobuf:"varint,4,opt,name=last"`
	Next      pollenlatch.InstanceID `protobuf:"varint,5,opt,name=next"`
	NoRecords bool                   `protobuf:"varint,6,opt,name=norecords"`
}

type instanceImage struct {
	Instance pollenlatch.Instance `protobuf:"bytes,1,opt,name=instance"`
	Ended    pollenlatch.Version  `protobuf:"varint,2,opt,name=ended"`
}

// recordImage leaves out the number: records are consecutive up to Ticket.
type recordImage struct {
	Sum     []byte              `protobuf:"bytes,1,opt,name=sum"`
	Sender  string              `protobuf:"bytes,2,opt,name=sender"`
	At      int64               `protobuf:"varint,3,opt,name=at"`
	Verdict pollenlatch.Verdict `protobuf:"bytes,4,opt,name=verdict"`
	Text    string              `protobuf:"bytes,5,opt,name=text"`
	HasText bool                `protobuf:"varint,6,opt,name=hastext"`
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	img := image{
		Version: s.version,
		Callers: s.Callers(),
		Voters:  s.voters,
		Last:    s.last,
		Ticket:  s.tickets.last,
		Items:   s.itemImages(),
	}
	for _, name := range s.sortedServices() {
		img.Services = append(img.Services, s.services[name].image())
	}
	s.instances.each(func(_ uint64, i *instance) bool {
		img.Instances = append(img.Instances, instanceImage{Instance: i.Instance, Ended: i.ended})
		return true
	})
	for n := s.tickets.first(); n <= s.tickets.last; n++ {
		img.Records = append(img.Records, s.tickets.image(n))
	}
	b, err := pollenlatch.Encode(&img)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	return seal(b), nil
}

func seal(b []byte) []byte {
	out := make([]byte, 0, len(magic)+len(b)+sumSize)
	out = append(out, magic...)
	out = append(out, b...)
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

func unseal(b []byte) ([]byte, error) {
	if len(b) < len(magic)+sumSize || string(b[:len(magic)]) != magic {
		return nil, ErrFormat
	}
	body, sum := b[:len(b)-sumSize], b[len(b)-sumSize:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return nil, ErrChecksum
	}
	return body[len(magic):], nil
}

func (s *service) image() serviceImage {
	img := serviceImage{Service: s.Service, Table: s.encodeTable()}
	for n, p := range s.pages {
		if p == nil || len(p.tokens) == 0 {
			continue
		}
		for _, i := range slices.Sorted(maps.Keys(p.tokens)) {
			img.Tokens = append(img.Tokens, tokenImage{Range: pollenlatch.Range(n<<tableShift | i), Token: p.tokens[i]})
		}
	}
	for _, k := range s.sortedKeys() {
		o := s.keys[k]
		img.Keys = append(img.Keys, keyImage{
			Key:       k,
			Instance:  o.Instance,
			Fence:     o.Fence,
			Last:      o.Previous,
			Next:      o.Next,
			NoRecords: o.NoRecords,
		})
	}
	return img
}

func (h history) image(number uint64) recordImage {
	r := h.records.get(number)
	img := recordImage{Sum: []byte(r.TextHash), Sender: r.Sender, At: r.ReceivedAt, Verdict: r.Verdict}
	if back := h.last - number; back < uint64(len(h.texts)) {
		img.Text, img.HasText = h.texts[uint64(len(h.texts))-1-back], true
	}
	return img
}

// Bits of the first number of a range in the encoded table. The instance's
// number stands above them.
const (
	codeUnowned = 1 << iota
	codeNoRecords
	codeFrozen
	codeBits = 3
)

// encodeTable writes for every range the holder with its flags, the fence as
// the difference to the fence before, and the target of a hand-over if there
// is one, all as varints. Ranges that were assigned together have equal
// fences, so most differences take one byte.
func (s *service) encodeTable() []byte {
	b := make([]byte, 0, 4*s.NumRanges())
	var before pollenlatch.Fence
	for r := range s.NumRanges() {
		o := s.at(pollenlatch.Range(r))
		code := uint64(o.Instance|o.Previous) << codeBits
		if o.Instance == 0 {
			code |= codeUnowned
		}
		if o.NoRecords {
			code |= codeNoRecords
		}
		if o.Frozen() {
			code |= codeFrozen
		}
		b = binary.AppendUvarint(b, code)
		b = binary.AppendVarint(b, int64(o.Fence-before))
		if o.Frozen() {
			b = binary.AppendUvarint(b, uint64(o.Next))
		}
		before = o.Fence
	}
	return b
}
