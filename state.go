package pollenlatch

import "time"

// Endpoint describes a server, as it announces itself to the local daemon.
type Endpoint struct {
	Service     string      `protobuf:"bytes,1,opt,name=service" json:"service"`
	Addr        string      `protobuf:"bytes,2,opt,name=addr" json:"addr"`
	Incarnation Incarnation `protobuf:"varint,3,opt,name=incarnation" json:"incarnation"`
	Slots       uint32      `protobuf:"varint,4,opt,name=slots" json:"slots"`   // requests that it runs concurrently
	MaxConns    uint32      `protobuf:"varint,5,opt,name=conns" json:"conns"`   // connections that it accepts
	Fenced      bool        `protobuf:"varint,6,opt,name=fenced" json:"fenced"` // the server checks fences
	Ready       bool        `protobuf:"varint,7,opt,name=ready" json:"ready"`
	Draining    bool        `protobuf:"varint,8,opt,name=draining" json:"draining"` // the server is leaving and takes no new requests
	// Heartbeats says that the server receives its grants by heartbeats. Another
	// incarnation of it starts without any.
	Heartbeats bool   `protobuf:"varint,9,opt,name=beats" json:"beats,omitempty"`
	ID         string `protobuf:"bytes,10,opt,name=id" json:"id,omitempty"`      // the server's identifier for its incarnation
	StartedAt  int64  `protobuf:"varint,11,opt,name=born" json:"born,omitempty"` // Unix milliseconds, by the server's clock
	// Limit is the number of requests a second that the server accepts from all
	// instances together; 0 is no limit.
	Limit float64 `protobuf:"fixed64,12,opt,name=limit" json:"limit,omitempty"`
	Cold  bool    `protobuf:"varint,13,opt,name=cold" json:"cold,omitempty"` // it tolerates Service.ColdRate requests a second only
}

// MaxSlots is the maximum number of slots that a server may announce.
const MaxSlots = 1 << 16

// DrainGrace is how long a draining server still receives requests for keys that
// have not moved yet. It must receive none after 2 s; the difference allows for
// requests on their way.
const DrainGrace = 1700 * time.Millisecond

// Instance is one instance with its daemon and its endpoint.
type Instance struct {
	ID          InstanceID  `protobuf:"varint,1,opt,name=id" json:"id"`
	Name        string      `protobuf:"bytes,2,opt,name=name" json:"name"`
	DC          string      `protobuf:"bytes,3,opt,name=dc" json:"dc"`
	Addr        string      `protobuf:"bytes,4,opt,name=addr" json:"addr"`   // for links of other daemons
	Front       string      `protobuf:"bytes,5,opt,name=front" json:"front"` // for HTTP requests of callers
	Incarnation Incarnation `protobuf:"varint,6,opt,name=incarnation" json:"incarnation"`
	Lease       Lease       `protobuf:"varint,7,opt,name=lease" json:"lease"` // 0 when it has none
	Endpoint    *Endpoint   `protobuf:"bytes,8,opt,name=endpoint" json:"endpoint,omitempty"`
	Storage     Incarnation `protobuf:"varint,9,opt,name=storage" json:"storage,omitempty"`      // incarnation of its data folder; 0 when it can't vote
	Evacuated   bool        `protobuf:"varint,10,opt,name=evacuated" json:"evacuated,omitempty"` // its data centre is evacuated
}

// Alive reports whether the instance holds a lease that no log entry has ended.
func (i Instance) Alive() bool { return i.Lease != 0 }

// Usable reports whether the instance's endpoint may receive new requests.
func (i Instance) Usable() bool {
	return i.Alive() && !i.Evacuated && i.Endpoint != nil && i.Endpoint.Ready && !i.Endpoint.Draining
}

// Shard identifies a range of a service, or one hot key when Key is not empty.
type Shard struct {
	Service string `protobuf:"bytes,1,opt,name=service" json:"service"`
	Range   Range  `protobuf:"varint,2,opt,name=range" json:"range"`
	Key     string `protobuf:"bytes,3,opt,name=key" json:"key,omitempty"`
}

// Owner is the owner of a shard.
type Owner struct {
	Shard
	Instance  InstanceID // 0 when the shard has no owner
	Fence     Fence
	Previous  InstanceID // the last owner of a shard that has none
	Next      InstanceID // the next owner of a frozen shard
	NoRecords bool       // the idempotency records were not handed over
	Token     string     // from the server that released the shard last
}

// Frozen reports whether a hand-over of the shard has started.
func (o Owner) Frozen() bool { return o.Next != 0 }

// View is an immutable snapshot of the replicated state, for the request path.
type View interface {
	Version() Version
	Service(name string) (Service, bool)
	Services() []Service
	Caller(name string) (Caller, bool)
	// Owner returns the owner of a key. A hot key may have an owner of its own;
	// otherwise it is that of the range. ok is false when the service does not exist.
	Owner(service, key string) (o Owner, ok bool)
	// ShardOwner returns the owner of a shard.
	ShardOwner(s Shard) (o Owner, ok bool)
	Instance(id InstanceID) (Instance, bool)
	InstanceByName(name string) (Instance, bool)
	// Endpoints returns the instances with an endpoint of the service, sorted by
	// ID.
	Endpoints(service string) []Instance
	// EachOwned calls f for every shard of the service that an instance owns,
	// until f returns false. Service "" is all services.
	EachOwned(id InstanceID, service string, f func(Owner) bool)
}

// Grant is the right of a server to run requests of one shard.
type Grant struct {
	Shard
	Fence Fence `protobuf:"varint,4,opt,name=fence" json:"fence"`
}

// Load is a daemon's report on the load of its local server.
type Load struct {
	InFlight      uint32        `protobuf:"varint,1,opt,name=inflight" json:"inflight"`
	Queued        uint32        `protobuf:"varint,2,opt,name=queued" json:"queued"`
	Rate          float64       `protobuf:"fixed64,3,opt,name=rate" json:"rate"`       // requests a second
	MedianLatency time.Duration `protobuf:"varint,4,opt,name=median" json:"median"`    // time until the response
	HotKeys       []HotKey      `protobuf:"bytes,5,rep,name=hot" json:"hot"`           // hottest keys
	Ranges        []RangeLoad   `protobuf:"bytes,6,rep,name=ranges" json:"ranges"`     // busiest ranges
	Suspect       bool          `protobuf:"varint,7,opt,name=suspect" json:"suspect"`  // so many failures that it should shed load
	Offered       float64       `protobuf:"fixed64,8,opt,name=offered" json:"offered"` // slots that all requests would take, including the refused ones
	RefusedShare  float64       `protobuf:"fixed64,9,opt,name=refused" json:"refused"` // share of the requests that were refused for lack of slots
	TypicalRun    time.Duration `protobuf:"varint,10,opt,name=run" json:"run"`         // typical run time of a request; 0 is unknown
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
