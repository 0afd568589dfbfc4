package quorum

import (
	"errors"
	"fmt"

	"pollenlatch"
)

// MessageKind is the kind of a message.
type MessageKind uint32

// Kinds of messages. A reply has the number of its request plus one.
const (
	KindPreVote            MessageKind = 1 // would the receiver vote for the sender?
	KindPreVoteReply       MessageKind = 2
	KindVote               MessageKind = 3
	KindVoteReply          MessageKind = 4
	KindAppend             MessageKind = 5 // entries after Index
	KindAppendReply        MessageKind = 6
	KindHeartbeat          MessageKind = 7
	KindHeartbeatReply     MessageKind = 8
	KindSnapshotChunk      MessageKind = 9 // a part of a snapshot
	KindSnapshotChunkReply MessageKind = 10
	KindAdmissionRequest   MessageKind = 11 // has the receiver counted a vote or acknowledgement of this name?
	KindAdmissionReply     MessageKind = 12
)

// Message is a message between voters. Which fields are used depends on Kind.
type Message struct {
	Kind            MessageKind             `protobuf:"varint,1,opt,name=kind"`
	Term            uint64                  `protobuf:"varint,2,opt,name=term"`
	FromIncarnation pollenlatch.Incarnation `protobuf:"varint,3,opt,name=incarnation"` // of the sender
	ToIncarnation   pollenlatch.Incarnation `protobuf:"varint,4,opt,name=to"`          // of the receiver; 0 when unknown
	// ReceiverIsMember says that the sender's log names the receiver's incarnation, or
	// that the leader copies the log to it as a non-voter.
	ReceiverIsMember bool                 `protobuf:"varint,5,opt,name=joined"`
	Index            uint64               `protobuf:"varint,6,opt,name=index"`   // votes: last entry; Append: entry before Entries; Piece: of the snapshot; AppendReply: last entry that matches
	LogTerm          uint64               `protobuf:"varint,7,opt,name=logterm"` // term of the entry at Index
	MembershipIndex  uint64               `protobuf:"varint,8,opt,name=group"`   // votes: index of the entry with the sender's voters
	Commit           uint64               `protobuf:"varint,9,opt,name=commit"`  // known to be committed at the receiver
	SentAt           int64                `protobuf:"varint,10,opt,name=sent"`   // Heartbeat: time at the leader, returned in the reply; 0 wants no reply
	Reject           bool                 `protobuf:"varint,11,opt,name=reject"` // Answer: a vote or acknowledgement was counted
	Offset           uint64               `protobuf:"varint,12,opt,name=offset"` // bytes; PieceReply: received so far
	Total            uint64               `protobuf:"varint,13,opt,name=total"`  // bytes of the snapshot's data
	Data             []byte               `protobuf:"bytes,14,opt,name=data"`    // of a piece
	Entries          []Entry              `protobuf:"bytes,15,rep,name=entries"` // of Append
	Members          []pollenlatch.Member `protobuf:"bytes,16,rep,name=members"` // of Piece: voters at Index
	RejectHint       uint64               `protobuf:"varint,17,opt,name=hint"`   // rejected Append: last entry that may match
	FromAddr         string               `protobuf:"bytes,18,opt,name=addr"`    // of the sender, for receivers that do not know it yet
}

// Errors of messages that are not well formed.
var (
	ErrUnknownKind    = errors.New("unknown kind of message")
	ErrInvalidTerm    = errors.New("term is missing or out of order")
	ErrNotContiguous  = errors.New("entries are not contiguous")
	ErrInvalidChunk   = errors.New("piece lies outside its snapshot")
	ErrInvalidMembers = errors.New("voters must have distinct names")
)

// Check reports whether the message is well formed.
func (m *Message) Check() error {
	if m.Kind < KindPreVote || m.Kind > KindAdmissionReply {
		return fmt.Errorf("%w: %d", ErrUnknownKind, m.Kind)
	}
	if m.Kind == KindAdmissionRequest || m.Kind == KindAdmissionReply {
		return nil
	}
	if m.Term == 0 {
		return ErrInvalidTerm
	}
	switch m.Kind {
	case KindAppend:
		return CheckEntries(m.Entries, m.Index, m.LogTerm, m.Term)
	case KindSnapshotChunk:
		return m.checkPiece()
	default:
		return nil
	}
}

func (m *Message) checkPiece() error {
	if m.Index == 0 || m.LogTerm == 0 || m.LogTerm > m.Term {
		return ErrInvalidTerm
	}
	if len(m.Data) > pollenlatch.ChunkBytes || m.Offset > m.Total || uint64(len(m.Data)) > m.Total-m.Offset {
		return ErrInvalidChunk
	}
	if len(m.Members) == 0 {
		return ErrInvalidMembers
	}
	return checkMembers(m.Members)
}

// CheckEntries reports whether entries follow index without gaps, with terms
// that do not fall and lie between term and limit.
func CheckEntries(entries []Entry, index, term, limit uint64) error {
	for i := range entries {
		e := &entries[i]
		if e.Index != index+1+uint64(i) || e.Index == 0 {
			return fmt.Errorf("%w: entry %d after index %d", ErrNotContiguous, e.Index, index)
		}
		if e.Term < term || e.Term == 0 || e.Term > limit {
			return fmt.Errorf("%w: entry %d has term %d", ErrInvalidTerm, e.Index, e.Term)
		}
		term = e.Term
		if err := checkMembers(e.Members); err != nil {
			return err
		}
	}
	return nil
}

func checkMembers(members []pollenlatch.Member) error {
	names := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Name == "" || names[m.Name] {
			return fmt.Errorf("%w: %q", ErrInvalidMembers, m.Name)
		}
		names[m.Name] = true
	}
	return nil
}
