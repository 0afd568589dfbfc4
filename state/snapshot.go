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

// Errors of Load, wrapped in a SnapshotError.
var (
	ErrFormat   = errors.New("not a snapshot, or of another format")
	ErrChecksum = errors.New("snapshot checksum mismatch")
)

// SnapshotError is returned when a snapshot cannot be encoded or loaded.
type SnapshotError struct{ Err error }

func (e *SnapshotError) Error() string { return fmt.Sprintf("state snapshot: %v", e.Err) }

func (e *SnapshotError) Unwrap() error { return e.Err }

// A snapshot consists of the magic, an encoded snapshotProto, and the xxhash64 of
// both.
const (
	snapshotMagic = "plstate1"
	checksumSize  = 8
)

type snapshotProto struct {
	Version        pollenlatch.Version      `protobuf:"varint,1,opt,name=version"`
	Services       []serviceProto           `protobuf:"bytes,2,rep,name=services"`
	Callers        []pollenlatch.Caller     `protobuf:"bytes,3,rep,name=callers"`
	Voters         []pollenlatch.Member     `protobuf:"bytes,4,rep,name=voters"`
	Instances      []instanceProto          `protobuf:"bytes,5,rep,name=instances"`
	LastInstanceID pollenlatch.InstanceID   `protobuf:"varint,6,opt,name=last"`
	TicketRecords  []ticketRecordProto      `protobuf:"bytes,7,rep,name=records"`
	LastTicket     uint64                   `protobuf:"varint,8,opt,name=ticket"`
	Items          []pollenlatch.ConfigItem `protobuf:"bytes,9,rep,name=items"`
	Suspects       []pollenlatch.Suspect    `protobuf:"bytes,10,rep,name=suspects"`
	EndedServers   []endedServerProto       `protobuf:"bytes,11,rep,name=ended"`
	EvacuatedDCs   []string                 `protobuf:"bytes,12,rep,name=evacuated"`
	EvacuatedAt    pollenlatch.Version      `protobuf:"varint,13,opt,name=evacuatedat"` // version of the newest change of EvacuatedDCs
}

// endedServerProto is a server that a Crash has counted.
type endedServerProto struct {
	Server pollenlatch.Incarnation `protobuf:"varint,1,opt,name=server"`
}

type serviceProto struct {
	Service pollenlatch.Service `protobuf:"bytes,1,opt,name=service"`
	Table   []byte              `protobuf:"bytes,2,opt,name=table"`
	HotKeys []hotKeyProto       `protobuf:"bytes,3,rep,name=keys"`
	Tokens  []tokenProto        `protobuf:"bytes,4,rep,name=tokens"`
}

type tokenProto struct {
	Range pollenlatch.Range `protobuf:"varint,1,opt,name=range"`
	Token string            `protobuf:"bytes,2,opt,name=token"`
}

type hotKeyProto struct {
	Key       string                 `protobuf:"bytes,1,opt,name=key"`
	Instance  pollenlatch.InstanceID `protobuf:"varint,2,opt,name=instance"`
	Fence     pollenlatch.Fence      `protobuf:"varint,3,opt,name=fence"`
	Previous  pollenlatch.InstanceID `protobuf:"varint,4,opt,name=last"`
	Next      pollenlatch.InstanceID `protobuf:"varint,5,opt,name=next"`
	NoRecords bool                   `protobuf:"varint,6,opt,name=norecords"`
}

type instanceProto struct {
	Instance     pollenlatch.Instance `protobuf:"bytes,1,opt,name=instance"`
	LeaseEndedAt pollenlatch.Version  `protobuf:"varint,2,opt,name=ended"`
}

// ticketRecordProto is a ticket record without its number: the records of a
// snapshot are consecutive and end with LastTicket.
type ticketRecordProto struct {
	TextHash   []byte              `protobuf:"bytes,1,opt,name=sum"`
	Sender     string              `protobuf:"bytes,2,opt,name=sender"`
	ReceivedAt int64               `protobuf:"varint,3,opt,name=at"`
	Verdict    pollenlatch.Verdict `protobuf:"bytes,4,opt,name=verdict"`
	Text       string              `protobuf:"bytes,5,opt,name=text"`
	HasText    bool                `protobuf:"varint,6,opt,name=hastext"`
}

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	msg := snapshotProto{
		Version:        s.version,
		Callers:        s.Callers(),
		Voters:         s.voters,
		LastInstanceID: s.lastInstanceID,
		LastTicket:     s.tickets.lastNumber,
		Items:          s.itemsWithDeleted(),
		EvacuatedDCs:   s.evacuations.dcs,
		EvacuatedAt:    s.evacuations.changedAt,
	}
	if s.suspects != nil {
		msg.Suspects = s.suspects.list
		for _, i := range s.suspects.counted {
			msg.EndedServers = append(msg.EndedServers, endedServerProto{i})
		}
	}
	for _, name := range s.sortedServiceNames() {
		msg.Services = append(msg.Services, s.services[name].toProto())
	}
	s.instances.each(func(_ uint64, i *instance) bool {
		msg.Instances = append(msg.Instances, instanceProto{Instance: i.Instance, LeaseEndedAt: i.leaseEndedAt})
		return true
	})
	for n := s.tickets.firstKept(); n <= s.tickets.lastNumber; n++ {
		msg.TicketRecords = append(msg.TicketRecords, s.tickets.recordProto(n))
	}
	b, err := pollenlatch.Encode(&msg)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	return frame(b), nil
}

func frame(b []byte) []byte {
	out := make([]byte, 0, len(snapshotMagic)+len(b)+checksumSize)
	out = append(out, snapshotMagic...)
	out = append(out, b...)
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

func unframe(b []byte) ([]byte, error) {
	if len(b) < len(snapshotMagic)+checksumSize || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return nil, ErrFormat
	}
	body, sum := b[:len(b)-checksumSize], b[len(b)-checksumSize:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return nil, ErrChecksum
	}
	return body[len(snapshotMagic):], nil
}

func (s *service) toProto() serviceProto {
	msg := serviceProto{Service: s.Service, Table: s.encodeTable()}
	for n, p := range s.pages {
		if p == nil || len(p.tokens) == 0 {
			continue
		}
		for _, i := range slices.Sorted(maps.Keys(p.tokens)) {
			msg.Tokens = append(msg.Tokens, tokenProto{Range: pollenlatch.Range(n<<ownerPageShift | i), Token: p.tokens[i]})
		}
	}
	for _, k := range s.sortedHotKeys() {
		o := s.hotKeys[k]
		msg.HotKeys = append(msg.HotKeys, hotKeyProto{
			Key:       k,
			Instance:  o.Instance,
			Fence:     o.Fence,
			Previous:  o.Previous,
			Next:      o.Next,
			NoRecords: o.NoRecords,
		})
	}
	return msg
}

func (h ticketHistory) recordProto(number uint64) ticketRecordProto {
	r := h.records.get(number)
	msg := ticketRecordProto{TextHash: []byte(r.TextHash), Sender: r.Sender, ReceivedAt: r.ReceivedAt, Verdict: r.Verdict}
	if age := h.lastNumber - number; age < uint64(len(h.texts)) {
		msg.Text, msg.HasText = h.texts[uint64(len(h.texts))-1-age], true
	}
	return msg
}

// Flags in the first number of an encoded range. The bits above them are the
// instance ID.
const (
	codeUnowned = 1 << iota
	codeNoRecords
	codeFrozen
	codeBits = 3
)

// encodeTable encodes the owner table. Every range takes two or three varints:
// the present or previous owner with flags, the difference between its fence and
// that of the range before, and the next owner if the range is frozen. Ranges that
// were assigned together have equal fences, so most differences take one byte.
func (s *service) encodeTable() []byte {
	b := make([]byte, 0, 4*s.NumRanges())
	var previous pollenlatch.Fence
	for r := range s.NumRanges() {
		o := s.rangeOwner(pollenlatch.Range(r))
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
		b = binary.AppendVarint(b, int64(o.Fence-previous))
		if o.Frozen() {
			b = binary.AppendUvarint(b, uint64(o.Next))
		}
		previous = o.Fence
	}
	return b
}
