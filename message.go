package pollenlatch

import "time"

// Message is one control message between processes. Exactly one field is set.
type Message struct {
	Renew          *Renew          `protobuf:"bytes,1,opt,name=renew"`
	RenewReply     *RenewReply     `protobuf:"bytes,2,opt,name=renewed"`
	Delta          *Delta          `protobuf:"bytes,3,opt,name=delta"`
	Propose        *Propose        `protobuf:"bytes,4,opt,name=propose"`
	ProposeReply   *ProposeReply   `protobuf:"bytes,5,opt,name=decided"`
	Release        *Release        `protobuf:"bytes,6,opt,name=release"`
	Quorum         []byte          `protobuf:"bytes,7,opt,name=quorum"` // encoded by package quorum
	Records        *Records        `protobuf:"bytes,8,opt,name=records"`
	RecordsAck     *RecordsAck     `protobuf:"bytes,9,opt,name=received"`
	ChunkRequest   *ChunkRequest   `protobuf:"bytes,10,opt,name=more"`
	EventsRequest  *EventsRequest  `protobuf:"bytes,11,opt,name=fetch"`
	EventsReply    *EventsReply    `protobuf:"bytes,12,opt,name=fetched"`
	ReadIndex      *ReadIndex      `protobuf:"bytes,13,opt,name=ask"`
	ReadIndexReply *ReadIndexReply `protobuf:"bytes,14,opt,name=told"`

	encoded []byte // see Pack
}

// Preencode keeps the encoding of the message, so that sending it to thousands of
// daemons encodes it once. The message must not be changed after the call.
func (m *Message) Preencode() error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	m.encoded = b
	return nil
}

// Encoded returns the encoding that Pack has kept, or nil. It must not be
// changed.
func (m *Message) Encoded() []byte { return m.encoded }

// Renew asks the leader to extend a lease, or to create one when Lease is 0.
type Renew struct {
	Seq         uint64      `protobuf:"varint,1,opt,name=seq"`
	Lease       Lease       `protobuf:"varint,2,opt,name=lease"`
	Version     Version     `protobuf:"varint,3,opt,name=held"` // version of the sender's state
	Incarnation Incarnation `protobuf:"varint,4,opt,name=incarnation"`
	Name        string      `protobuf:"bytes,5,opt,name=name"`
	Join        *Join       `protobuf:"bytes,6,opt,name=join"`   // set when Lease is 0
	Endpoint    *Endpoint   `protobuf:"bytes,7,opt,name=facts"`  // set when the state holds other facts of the endpoint
	Load        *Load       `protobuf:"bytes,8,opt,name=load"`   // once a second
	Leave       bool        `protobuf:"varint,9,opt,name=leave"` // end the lease now; nothing is in flight
}

// RenewReply answers a Renew.
type RenewReply struct {
	Seq     uint64        `protobuf:"varint,1,opt,name=seq"`
	Lease   Lease         `protobuf:"varint,2,opt,name=lease"`   // 0: no lease; see Refused
	TTL     time.Duration `protobuf:"varint,3,opt,name=ttl"`     // counted by the holder from sending Renew
	Version Version       `protobuf:"varint,4,opt,name=version"` // the leader's applied version
	Refusal Refusal       `protobuf:"varint,5,opt,name=refused"`
	Leader  string        `protobuf:"bytes,6,opt,name=leader"` // address of the leader when Refused is NotLeader
	InForce Version       `protobuf:"varint,7,opt,name=force"` // every daemon that may serve holds at least this version
	Voters  []string      `protobuf:"bytes,8,rep,name=voters"` // addresses of the present voters
}

// Refusal says why a lease was not extended.
type Refusal uint32

// Reasons for which a lease is not extended.
const (
	RefusalNone       Refusal = 0 // it was extended
	RefusalNotLeader  Refusal = 1 // the receiver does not lead
	RefusalJoining    Refusal = 2 // the Join is being committed
	RefusalBehind     Refusal = 3 // the holder lacks a ticket for longer than the grace time
	RefusalLeaseEnded Refusal = 4 // the lease has ended; join again
)

// Delta carries committed commands, or one piece of a snapshot.
type Delta struct {
	From       Version        `protobuf:"varint,1,opt,name=from"` // version before the first command
	Commands   []Command      `protobuf:"bytes,2,rep,name=commands"`
	Chunk      *SnapshotChunk `protobuf:"bytes,3,opt,name=piece"`
	Compressed []byte         `protobuf:"bytes,4,opt,name=compressed"` // the encoding of Commands as a Delta, compressed, in their place
	Count      uint32         `protobuf:"varint,5,opt,name=count"`     // of the commands in Compressed
}

// Len returns the number of commands.
func (d *Delta) Len() int { return len(d.Commands) + int(d.Count) }

// SnapshotChunk is a part of an encoded snapshot.
type SnapshotChunk struct {
	Version Version `protobuf:"varint,1,opt,name=version"`
	Offset  uint64  `protobuf:"varint,2,opt,name=offset"` // bytes
	Total   uint64  `protobuf:"varint,3,opt,name=total"`  // bytes
	Data    []byte  `protobuf:"bytes,4,opt,name=data"`
}

// ChunkBytes bounds a piece of a snapshot, so that renewals on the same
// session wait for little.
const ChunkBytes = 64 << 10

// ChunkRequest asks for the piece of a snapshot at an offset.
type ChunkRequest struct {
	Version Version `protobuf:"varint,1,opt,name=version"`
	Offset  uint64  `protobuf:"varint,2,opt,name=offset"` // bytes
}

// Propose asks the leader to decide on a ticket, or on a change of items.
type Propose struct {
	Seq    uint64        `protobuf:"varint,1,opt,name=seq"`
	Ticket Ticket        `protobuf:"bytes,2,opt,name=ticket"`
	Change *ConfigChange `protobuf:"bytes,3,opt,name=change"`
}

// ReadIndex asks the leader for a version that holds everything that was committed
// before the question.
type ReadIndex struct {
	Seq uint64 `protobuf:"varint,1,opt,name=seq"`
}

// ReadIndexReply answers Ask.
type ReadIndexReply struct {
	Seq     uint64  `protobuf:"varint,1,opt,name=seq"`
	Version Version `protobuf:"varint,2,opt,name=version"` // 0: the receiver of the question does not lead
}

// ProposeReply answers a Propose.
type ProposeReply struct {
	Seq     uint64  `protobuf:"varint,1,opt,name=seq" json:"-"`
	Verdict Verdict `protobuf:"bytes,2,opt,name=verdict" json:"verdict"`
}

// Verdict is the answer to a ticket. The same ticket always gets the same.
type Verdict struct {
	Number   uint64   `protobuf:"varint,1,opt,name=number" json:"number"`
	Accepted bool     `protobuf:"varint,2,opt,name=accepted" json:"accepted"`
	Version  Version  `protobuf:"varint,3,opt,name=version" json:"version"` // where it stands in the log
	Faults   []string `protobuf:"bytes,4,rep,name=faults" json:"faults,omitempty"`
	Next     uint64   `protobuf:"varint,5,opt,name=next" json:"next"`             // the next free number
	Retry    bool     `protobuf:"varint,6,opt,name=retry" json:"retry,omitempty"` // not decided: no leader; send again
}

// Release says that nothing of the shards runs or will run at the sender.
type Release struct {
	Instance InstanceID      `protobuf:"varint,1,opt,name=instance"`
	Lease    Lease           `protobuf:"varint,2,opt,name=lease"`
	Items    []ReleasedShard `protobuf:"bytes,3,rep,name=items"`
}

// ReleasedShard is one released shard.
type ReleasedShard struct {
	Shard
	Fence     Fence `protobuf:"varint,4,opt,name=fence"`
	NoRecords bool  `protobuf:"varint,5,opt,name=norecords"` // its idempotency records could not be handed over
	// Token is what the server that released the shard gave for the next one.
	// With it the keys are served at full speed from the start.
	Token string `protobuf:"bytes,6,opt,name=token"`
}

// Records hands idempotency records of one shard to its next owner.
type Records struct {
	Seq   uint64 `protobuf:"varint,1,opt,name=seq"`
	Shard Shard  `protobuf:"bytes,2,opt,name=shard"`
	Fence Fence  `protobuf:"varint,3,opt,name=fence"` // of the present owner
	Data  []byte `protobuf:"bytes,4,opt,name=data"`   // encoded by package once
}

// RecordsAck acknowledges Records.
type RecordsAck struct {
	Seq uint64 `protobuf:"varint,1,opt,name=seq"`
	OK  bool   `protobuf:"varint,2,opt,name=ok"`
}

// EventsRequest asks a daemon for its events of the service-level report.
type EventsRequest struct {
	Seq      uint64 `protobuf:"varint,1,opt,name=seq"`
	After    int64  `protobuf:"varint,2,opt,name=after"` // Unix minutes; only later ones are wanted
	Instance string `protobuf:"bytes,3,opt,name=of"`     // instance whose events are wanted; empty is the receiver
}

// EventsReply answers Fetch.
type EventsReply struct {
	Seq  uint64 `protobuf:"varint,1,opt,name=seq"`
	Data []byte `protobuf:"bytes,2,opt,name=data"`  // encoded by package burn; empty when the receiver has none
	More bool   `protobuf:"varint,3,opt,name=more"` // later minutes were left out
}
