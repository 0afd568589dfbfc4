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

	encoded []byte // see Preencode
}

// Preencode encodes the message and keeps the result, so that a message to
// thousands of daemons is encoded once. The message must not be changed afterwards.
func (m *Message) Preencode() error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	m.encoded = b
	return nil
}

// Encoded returns the encoding that Preencode has kept, or nil. It must not be
// changed.
func (m *Message) Encoded() []byte { return m.encoded }

// Renew asks the leader to extend a lease, or to create one when Lease is 0.
type Renew struct {
	Seq         uint64      `protobuf:"varint,1,opt,name=seq"`
	Lease       Lease       `protobuf:"varint,2,opt,name=lease"`
	Version     Version     `protobuf:"varint,3,opt,name=held"` // version of the sender's state
	Incarnation Incarnation `protobuf:"varint,4,opt,name=incarnation"`
	Name        string      `protobuf:"bytes,5,opt,name=name"`
	Join        *Join       `protobuf:"bytes,6,opt,name=join"`     // set when Lease is 0
	Endpoint    *Endpoint   `protobuf:"bytes,7,opt,name=facts"`    // set when the state has outdated facts about the endpoint
	Load        *Load       `protobuf:"bytes,8,opt,name=load"`     // sent once a second
	Leave       bool        `protobuf:"varint,9,opt,name=leave"`   // end the lease now; no request is in flight
	Crashes     []Crash     `protobuf:"bytes,10,rep,name=crashes"` // that the sender's state does not show yet
}

// RenewReply is the reply to Renew.
type RenewReply struct {
	Seq     uint64        `protobuf:"varint,1,opt,name=seq"`
	Lease   Lease         `protobuf:"varint,2,opt,name=lease"`   // 0: no lease; see Refusal
	TTL     time.Duration `protobuf:"varint,3,opt,name=ttl"`     // counted by the holder from the sending of Renew
	Version Version       `protobuf:"varint,4,opt,name=version"` // the leader's applied version
	Refusal Refusal       `protobuf:"varint,5,opt,name=refused"`
	Leader  string        `protobuf:"bytes,6,opt,name=leader"` // address of the leader when Refusal is RefusalNotLeader
	InForce Version       `protobuf:"varint,7,opt,name=force"` // every daemon that may serve has at least this version
	Voters  []string      `protobuf:"bytes,8,rep,name=voters"` // addresses of the current voters
}

// Refusal is the reason why a lease was not extended.
type Refusal uint32

// Reasons why a lease is not extended.
const (
	RefusalNone       Refusal = 0 // the lease was extended
	RefusalNotLeader  Refusal = 1 // the receiver is not the leader
	RefusalJoining    Refusal = 2 // the Join has not been committed yet
	RefusalBehind     Refusal = 3 // the holder has lacked a ticket for longer than the grace time
	RefusalLeaseEnded Refusal = 4 // the lease has ended; the instance must join again
)

// Delta carries committed commands, or one chunk of a snapshot.
type Delta struct {
	From       Version        `protobuf:"varint,1,opt,name=from"` // version before the first command
	Commands   []Command      `protobuf:"bytes,2,rep,name=commands"`
	Chunk      *SnapshotChunk `protobuf:"bytes,3,opt,name=piece"`
	Compressed []byte         `protobuf:"bytes,4,opt,name=compressed"` // a compressed, encoded Delta of the commands; used instead of Commands
	Count      uint32         `protobuf:"varint,5,opt,name=count"`     // commands in Compressed
}

// Len returns the number of commands.
func (d *Delta) Len() int { return len(d.Commands) + int(d.Count) }

// SnapshotChunk is a chunk of an encoded snapshot.
type SnapshotChunk struct {
	Version Version `protobuf:"varint,1,opt,name=version"`
	Offset  uint64  `protobuf:"varint,2,opt,name=offset"` // bytes
	Total   uint64  `protobuf:"varint,3,opt,name=total"`  // bytes
	Data    []byte  `protobuf:"bytes,4,opt,name=data"`
}

// ChunkBytes is the maximum size of a snapshot chunk. It is small so that lease
// renewals on the same session are not delayed.
const ChunkBytes = 64 << 10

// ChunkRequest asks for the chunk of a snapshot at an offset.
type ChunkRequest struct {
	Version Version `protobuf:"varint,1,opt,name=version"`
	Offset  uint64  `protobuf:"varint,2,opt,name=offset"` // bytes
}

// Propose asks the leader to decide on a ticket, a configuration change or the
// evacuation of a data centre.
type Propose struct {
	Seq      uint64        `protobuf:"varint,1,opt,name=seq"`
	Ticket   Ticket        `protobuf:"bytes,2,opt,name=ticket"`
	Change   *ConfigChange `protobuf:"bytes,3,opt,name=change"`
	Evacuate *Evacuate     `protobuf:"bytes,4,opt,name=evacuate"`
}

// ReadIndex asks the leader for a version that includes everything committed
// before the request.
type ReadIndex struct {
	Seq uint64 `protobuf:"varint,1,opt,name=seq"`
}

// ReadIndexReply is the reply to ReadIndex.
type ReadIndexReply struct {
	Seq     uint64  `protobuf:"varint,1,opt,name=seq"`
	Version Version `protobuf:"varint,2,opt,name=version"` // 0: the receiver is not the leader
}

// ProposeReply is the reply to Propose.
type ProposeReply struct {
	Seq     uint64  `protobuf:"varint,1,opt,name=seq" json:"-"`
	Verdict Verdict `protobuf:"bytes,2,opt,name=verdict" json:"verdict"`
}

// Verdict is the decision on a ticket, a configuration change or an evacuation. The same
// ticket always gets the same verdict.
type Verdict struct {
	Number   uint64   `protobuf:"varint,1,opt,name=number" json:"number"`
	Accepted bool     `protobuf:"varint,2,opt,name=accepted" json:"accepted"`
	Version  Version  `protobuf:"varint,3,opt,name=version" json:"version"` // its index in the log
	Faults   []string `protobuf:"bytes,4,rep,name=faults" json:"faults,omitempty"`
	Next     uint64   `protobuf:"varint,5,opt,name=next" json:"next"`             // the next free number
	Retry    bool     `protobuf:"varint,6,opt,name=retry" json:"retry,omitempty"` // undecided for lack of a leader; send again
}

// Release says that no request of the shards runs, or will run, at the sender.
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
	// Token comes from the server that released the shard, for the next one, which
	// then serves the keys without a warm-up.
	Token string `protobuf:"bytes,6,opt,name=token"`
}

// Records hands over idempotency records of one shard to its next owner.
type Records struct {
	Seq   uint64 `protobuf:"varint,1,opt,name=seq"`
	Shard Shard  `protobuf:"bytes,2,opt,name=shard"`
	Fence Fence  `protobuf:"varint,3,opt,name=fence"` // fence of the present owner
	Data  []byte `protobuf:"bytes,4,opt,name=data"`   // encoded by package dedup
}

// RecordsAck acknowledges Records.
type RecordsAck struct {
	Seq uint64 `protobuf:"varint,1,opt,name=seq"`
	OK  bool   `protobuf:"varint,2,opt,name=ok"`
}

// EventsRequest asks a daemon for its event counts for the service-level report.
type EventsRequest struct {
	Seq      uint64 `protobuf:"varint,1,opt,name=seq"`
	After    int64  `protobuf:"varint,2,opt,name=after"` // Unix minutes; only later ones are wanted
	Instance string `protobuf:"bytes,3,opt,name=of"`     // name of the instance whose events are wanted; empty is the receiver
}

// EventsReply is the reply to EventsRequest.
type EventsReply struct {
	Seq  uint64 `protobuf:"varint,1,opt,name=seq"`
	Data []byte `protobuf:"bytes,2,opt,name=data"`  // encoded by package burn; empty when the receiver has none
	More bool   `protobuf:"varint,3,opt,name=more"` // later minutes were left out
}
