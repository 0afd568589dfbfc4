package quorum

import (
	"errors"
	"fmt"

	"pollenlatch"
)

// MessageKind tells what a message requests or replies to.
type MessageKind uint32

// Kinds of messages. The number of a reply is that of its request plus one.
const (
	KindPreVote            MessageKind = 1 // asks whether the receiver would vote for the sender in the next term
	KindPreVoteReply       MessageKind = 2
	KindVote               MessageKind = 3
	KindVoteReply          MessageKind = 4
	KindAppend             MessageKind = 5 // replicates the entries after Index
	KindAppendReply        MessageKind = 6
	KindHeartbeat          MessageKind = 7
	KindHeartbeatReply     MessageKind = 8
	KindSnapshotChunk      MessageKind = 9 // transfers a part of a snapshot
	KindSnapshotChunkReply MessageKind = 10
	KindAdmissionRequest   MessageKind = 11 // asks whether the receiver has counted a vote or acknowledgement of the sender's name
	KindAdmissionReply     MessageKind = 12
)

// Message is a message between voters. Kind determines which fields are used.
type Message struct {
	Kind            MessageKind             `protobuf:"varint,1,opt,name=kind"`
	Term            uint64                  `protobuf:"varint,2,opt,name=term"`
	FromIncarnation pollenlatch.Incarnation `protobuf:"varint,3,opt,name=incarnation"` // of the sender
	ToIncarnation   pollenlatch.Incarnation `protobuf:"varint,4,opt,name=to"`          // of the receiver; 0 when unknown
	// ReceiverIsMember is set when the sender's log contains the receiver's
	// incarnation as a voter, or the leader replicates the log to it as a
	// learner.
	ReceiverIsMember bool                 `protobuf:"varint,5,opt,name=joined"`
	Index            uint64               `protobuf:"varint,6,opt,name=index"`   // votes: last entry; Append: entry before Entries; SnapshotChunk: of the snapshot; AppendReply: last matching entry
	LogTerm          uint64               `protobuf:"varint,7,opt,name=logterm"` // term of the entry at Index
	MembershipIndex  uint64               `protobuf:"varint,8,opt,name=group"`   // votes: index of the entry that set the sender's voters
	Commit           uint64               `protobuf:"varint,9,opt,name=commit"`  // Append: commit index of the leader; Heartbeat: the same, but at most the receiver's last matching entry
	SentAt           int64                `protobuf:"varint,10,opt,name=sent"`   // Heartbeat: monotonic time of the leader, ns, returned in the reply; 0 requests no reply
	Reject           bool                 `protobuf:"varint,11,opt,name=reject"` // AdmissionReply: a vote or acknowledgement of the name was counted
	Offset           uint64               `protobuf:"varint,12,opt,name=offset"` // of Data in the snapshot, bytes; SnapshotChunkReply: bytes received so far
	Total            uint64               `protobuf:"varint,13,opt,name=total"`  // size of the snapshot's data, bytes
	Data             []byte               `protobuf:"bytes,14,opt,name=data"`    // of SnapshotChunk
	Entries          []Entry              `protobuf:"bytes,15,rep,name=entries"` // of Append
	Members          []pollenlatch.Member `protobuf:"bytes,16,rep,name=members"` // of SnapshotChunk: voters at Index
	RejectHint       uint64               `protobuf:"varint,17,opt,name=hint"`   // rejected Append: last entry that may match the leader's log
	FromAddr         string               `protobuf:"bytes,18,opt,name=addr"`    // of the sender, for receivers that do not know it yet
}

// Errors of malformed messages.
var (
	ErrUnknownKind    = errors.New("unknown message kind")
	ErrInvalidTerm    = errors.New("term is zero or out of order")
	ErrNotContiguous  = errors.New("entries are not contiguous")
	ErrInvalidChunk   = errors.New("snapshot chunk is too large or outside its snapshot")
	ErrInvalidMembers = errors.New("voters must have distinct, non-empty names")
)

// Check returns an error when the message is malformed.
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
		return m.checkChunk()
	default:
		return nil
	}
}

func (m *Message) checkChunk() error {
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

// CheckEntries returns an error unless the entries follow prevIndex without gaps,
// and their terms never decrease and are between prevTerm and maxTerm.
func CheckEntries(entries []Entry, prevIndex, prevTerm, maxTerm uint64) error {
	for i := range entries {
		e := &entries[i]
		if e.Index != prevIndex+1+uint64(i) || e.Index == 0 {
			return fmt.Errorf("%w: entry %d in a list after index %d", ErrNotContiguous, e.Index, prevIndex)
		}
		if e.Term < prevTerm || e.Term == 0 || e.Term > maxTerm {
			return fmt.Errorf("%w: entry %d has term %d", ErrInvalidTerm, e.Index, e.Term)
		}
		prevTerm = e.Term
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
