package pollenlatch

// Command is one entry of the replicated log. Exactly one field is set.
// A command that conflicts with the state when it is applied changes nothing and
// is reported as rejected, with a reason.
type Command struct {
	Ticket   *Ticket       `protobuf:"bytes,1,opt,name=ticket"`
	Join     *Join         `protobuf:"bytes,2,opt,name=join"`
	Expire   *Expire       `protobuf:"bytes,3,opt,name=expire"`
	Announce *Announce     `protobuf:"bytes,4,opt,name=announce"`
	Assign   *Assign       `protobuf:"bytes,5,opt,name=assign"`
	Freeze   *Freeze       `protobuf:"bytes,6,opt,name=freeze"`
	Noop     *Noop         `protobuf:"bytes,7,opt,name=noop"`
	Change   *ConfigChange `protobuf:"bytes,8,opt,name=change"`
	Divide   *Divide       `protobuf:"bytes,9,opt,name=divide"`
	Crash    *Crash        `protobuf:"bytes,10,opt,name=crash"`
	Evacuate *Evacuate     `protobuf:"bytes,11,opt,name=evacuate"`
}

// Crash records that a server has ended under requests. It is also used to change the
// suspects without a server.
type Crash struct {
	Server    Incarnation   `protobuf:"varint,1,opt,name=server"`   // each counts once; 0 is none
	Requests  []Fingerprint `protobuf:"bytes,2,rep,name=requests"`  // that were running
	Cleared   []Fingerprint `protobuf:"bytes,3,rep,name=cleared"`   // suspects that have completed since
	Probation []Fingerprint `protobuf:"bytes,4,rep,name=probation"` // suspects whose quarantine ends; the next strike renews it
}

// Evacuate starts or ends the evacuation of a data centre. The servers of an evacuated
// data centre get no new requests.
type Evacuate struct {
	DC     string `protobuf:"bytes,1,opt,name=dc"`
	Finish bool   `protobuf:"varint,2,opt,name=finish"` // ends the evacuation
	ID     uint64 `protobuf:"fixed64,3,opt,name=id"`    // identifies the proposal while it waits for a verdict
	// Known is the version of the sender's state. An order that does not know the
	// newest one is rejected: a delayed copy of an order that the operator has sent
	// again elsewhere must not undo a later one.
	Known Version `protobuf:"varint,4,opt,name=known"`
}

// MaxDCBytes is the maximum length of the name of a data centre in an Evacuate.
const MaxDCBytes = 256

// Divide sets the number of ranges of a numeric service that has not been
// divided yet. The number is derived from the servers that have joined.
type Divide struct {
	Service   string `protobuf:"bytes,1,opt,name=service"`
	RangeBits uint32 `protobuf:"varint,2,opt,name=bits"` // there are 1<<RangeBits ranges
}

// Ticket is a numbered configuration change by an operator.
type Ticket struct {
	Number     uint64 `protobuf:"varint,1,opt,name=number" json:"number"`
	Text       string `protobuf:"bytes,2,opt,name=text" json:"text"`       // the YAML document as sent
	Digest     uint64 `protobuf:"fixed64,3,opt,name=digest" json:"digest"` // xxhash64 of Text; equal digests are confirmed by comparing Text
	Sender     string `protobuf:"bytes,4,opt,name=sender" json:"sender"`
	ReceivedAt int64  `protobuf:"varint,5,opt,name=at" json:"at"` // Unix milliseconds when the leader received it
	Spec       Spec   `protobuf:"bytes,6,opt,name=spec" json:"-"`
}

// Join starts a lease for an instance that has none.
type Join struct {
	Name        string      `protobuf:"bytes,1,opt,name=name"`
	DC          string      `protobuf:"bytes,2,opt,name=dc"`
	Addr        string      `protobuf:"bytes,3,opt,name=addr"`
	Front       string      `protobuf:"bytes,4,opt,name=front"`
	Incarnation Incarnation `protobuf:"varint,5,opt,name=incarnation"`
	Storage     Incarnation `protobuf:"varint,6,opt,name=storage"` // incarnation of the data folder; 0 when there is none, so that the instance can't vote
	// Takeover says that the previous process is known to have ended, so that its
	// lease and shards pass to this one at once.
	Takeover bool `protobuf:"varint,7,opt,name=takeover"`
}

// Expire ends a lease. Afterwards the shards of the instance have no owner.
type Expire struct {
	Instance InstanceID `protobuf:"varint,1,opt,name=instance"`
	Lease    Lease      `protobuf:"varint,2,opt,name=lease"`
	Graceful bool       `protobuf:"varint,3,opt,name=graceful"` // the holder itself ended it
}

// Announce records the endpoint of an instance. It applies only under the lease
// that it was sent with.
type Announce struct {
	Instance InstanceID `protobuf:"varint,1,opt,name=instance"`
	Lease    Lease      `protobuf:"varint,2,opt,name=lease"`
	Endpoint Endpoint   `protobuf:"bytes,3,opt,name=endpoint"`
}

// Assign assigns shards to owners. Each item applies independently.
type Assign struct {
	Items []AssignItem `protobuf:"bytes,1,rep,name=items"`
}

// AssignItem assigns one shard to an owner if the shard still has the expected
// fence, and either has no live owner or was released by it.
type AssignItem struct {
	Shard
	To            InstanceID `protobuf:"varint,4,opt,name=to"`     // 0 removes a hot key's own record
	ExpectedFence Fence      `protobuf:"varint,5,opt,name=expect"` // present fence of the shard; 0 when it never had an owner
	// ReleasedLease is the lease under which the present owner released the shard;
	// 0 when the shard has no owner.
	ReleasedLease Lease `protobuf:"varint,6,opt,name=released"`
	NoRecords     bool  `protobuf:"varint,7,opt,name=norecords"` // the idempotency records were not handed over
	// Token is the token from the previous server; see ReleasedShard.
	Token string `protobuf:"bytes,8,opt,name=token"`
}

// Freeze starts hand-overs. Each item applies independently.
type Freeze struct {
	Items []FreezeItem `protobuf:"bytes,1,rep,name=items"`
}

// FreezeItem starts the hand-over of one shard, or cancels it when To is the
// present owner.
type FreezeItem struct {
	Shard
	To            InstanceID `protobuf:"varint,4,opt,name=to"`
	ExpectedFence Fence      `protobuf:"varint,5,opt,name=expect"`
}

// Noop is committed by a new leader so that earlier entries count as committed.
type Noop struct {
	Term uint64 `protobuf:"varint,1,opt,name=term"`
}
