package pollenlatch

import "time"

// Endpoint is what a server says of itself to the daemon beside it.
type Endpoint struct {
	Service     string      `protobuf:"bytes,1,opt,name=service" json:"service"`
	Addr        string      `protobuf:"bytes,2,opt,name=addr" json:"addr"`
	Incarnation Incarnation `protobuf:"varint,3,opt,name=incarnation" json:"incarnation"`
	Slots       uint32      `protobuf:"varint,4,opt,name=slots" json:"slots"`   // requests it runs at once
	MaxConns    uint32      `protobuf:"varint,5,opt,name=conns" json:"conns"`   // connections it accepts
	Fenced      bool        `protobuf:"varint,6,opt,name=fenced" json:"fenced"` // checks fences
	Ready       bool        `protobuf:"varint,7,opt,name=ready" json:"ready"`
	Draining    bool        `protobuf:"varint,8,opt,name=draining" json:"draining"` // leaving: no new work
	// Heartbeats says that the server fetches its grants by heartbeats. Another
	// incarnation of it begins without any.
	Heartbeats bool   `protobuf:"varint,9,opt,name=beats" json:"beats,omitempty"`
	ID         string `protobuf:"bytes,10,opt,name=id" json:"id,omitempty"`      // the server's own name for its incarnation
	StartedAt  int64  `protobuf:"varint,11,opt,name=born" json:"born,omitempty"` // Unix milliseconds of the server's start, by its own clock
}

// Instance is one instance with the daemon on it and the endpoint beside it.
type Instance struct {
	ID          InstanceID  `protobuf:"varint,1,opt,name=id" json:"id"`
	Name        string      `protobuf:"bytes,2,opt,name=name" json:"name"`
	DC          string      `protobuf:"bytes,3,opt,name=dc" json:"dc"`
	Addr        string      `protobuf:"bytes,4,opt,name=addr" json:"addr"`   // links of other daemons
	Front       string      `protobuf:"bytes,5,opt,name=front" json:"front"` // callers' HTTP
	Incarnation Incarnation `protobuf:"varint,6,opt,name=incarnation" json:"incarnation"`
	Lease       Lease       `protobuf:"varint,7,opt,name=lease" json:"lease"` // 0 when it has none
	Endpoint    *Endpoint   `protobuf:"bytes,8,opt,name=endpoint" json:"endpoint,omitempty"`
	Storage     Incarnation `protobuf:"varint,9,opt,name=storage" json:"storage,omitempty"` // of its data folder; 0 when it can't vote
}

// Alive reports whether the instance holds a lease that the log has not ended.
func (i Instance) Alive() bool { return i.Lease != 0 }

// Usable reports whether the instance's endpoint may be given new work.
func (i Instance) Usable() bool {
	return i.Alive() && i.Endpoint != nil && i.Endpoint.Ready && !i.Endpoint.Draining
}

// Shard names a range of a service, or one hot key when Key is not empty.
type Shard struct {
	Service string `protobuf:"bytes,1,opt,name=service" json:"service"`
	Range   Range  `protobuf:"varint,2,opt,name=range" json:"range"`
	Key     string `protobuf:"bytes,3,opt,name=key" json:"key,omitempty"`
}

// Owner is the owner of a shard.
type Owner struct {
	Shard
	Instance  InstanceID // 0 when nobody owns it
	Fence     Fence
	Previous  InstanceID // for a shard without owner: who had it last
	Next      InstanceID // for a frozen shard: who is to get it
	NoRecords bool       // taken over without the idempotency records
	Token     string     // of the server that released the shard last
}

// Frozen reports whether a hand-over of the shard has started.
func (o Owner) Frozen() bool { return o.Next != 0 }

// View is an immutable copy of the replicated state, read by traffic.
type View interface {
	Version() Version
	Service(name string) (Service, bool)
	Services() []Service
	Caller(name string) (Caller, bool)
	// Owner returns the owner of a key: of its own record if it has one,
	// otherwise of its range. ok is false when the service does not exist.
	Owner(service, key string) (o Owner, ok bool)
	// ShardOwner returns the owner of a shard.
	ShardOwner(p Shard) (o Owner, ok bool)
	Instance(id InstanceID) (Instance, bool)
	InstanceByName(name string) (Instance, bool)
	// Endpoints returns the instances with an endpoint of the service, by ID.
	Endpoints(service string) []Instance
	// EachOwned calls f for every shard of the service that an instance owns,
	// until f returns false. Service "" is all services.
	EachOwned(id InstanceID, service string, f func(Owner) bool)
}

// Grant is the right to run requests of one shard at one server.
type Grant struct {
	Shard
	Fence Fence `protobuf:"varint,4,opt,name=fence" json:"fence"`
}

// Load is what a daemon reports of the server beside it.
type Load struct {
	InFlight      uint32        `protobuf:"varint,1,opt,name=inflight" json:"inflight"`
	Queued        uint32        `protobuf:"varint,2,opt,name=queued" json:"queued"`
	Rate          float64       `protobuf:"fixed64,3,opt,name=rate" json:"rate"`       // requests a second
	MedianLatency time.Duration `protobuf:"varint,4,opt,name=median" json:"median"`    // time to answer
	HotKeys       []HotKey      `protobuf:"bytes,5,rep,name=hot" json:"hot"`           // hottest keys
	Ranges        []RangeLoad   `protobuf:"bytes,6,rep,name=ranges" json:"ranges"`     // busiest ranges
	Suspect       bool          `protobuf:"varint,7,opt,name=suspect" json:"suspect"`  // answers so badly that it should shed load
	Offered       float64       `protobuf:"fixed64,8,opt,name=offered" json:"offered"` // slots that requests would take if none were refused
	RefusedShare  float64       `protobuf:"fixed64,9,opt,name=refused" json:"refused"` // share of the requests that were refused for lack of slots
	TypicalRun    time.Duration `protobuf:"varint,10,opt,name=run" json:"run"`         // usual time of a run; 0 is unknown
}

// HotKey is the measured rate of one key.
type HotKey struct {
	Service string  `protobuf:"bytes,1,opt,name=service" json:"service"`
	Key     string  `protobuf:"bytes,2,opt,name=key" json:"key"`
	Rate    float64 `protobuf:"fixed64,3,opt,name=rate" json:"rate"` // requests a second
}

// RangeLoad is the measured rate of one range.
type RangeLoad struct {
	Service string  `protobuf:"bytes,1,opt,name=service" json:"service"`
	Range   Range   `protobuf:"varint,2,opt,name=range" json:"range"`
	Rate    float64 `protobuf:"fixed64,3,opt,name=rate" json:"rate"` // requests a second
}
