package pollenlatch

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Class is the priority of a request at admission. Lower classes are served
// first.
type Class uint32

// Classes of requests. A request without a matching rule has ClassRoutine.
const (
	ClassUrgent  Class = 1
	ClassNormal  Class = 2
	ClassRoutine Class = 3
)

// String returns the class's name in tickets and metrics.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassNormal:
		return "normal"
	case ClassRoutine:
		return "routine"
	default:
		return fmt.Sprintf("class-%d", uint32(c))
	}
}

// Weights are the relative costs that the placement of a service's shards
// minimises.
type Weights struct {
	Imbalance   float64 `protobuf:"fixed64,1,opt,name=imbalance" yaml:"imbalance"`
	Churn       float64 `protobuf:"fixed64,2,opt,name=churn" yaml:"churn"`
	Unavailable float64 `protobuf:"fixed64,3,opt,name=unavailable" yaml:"unavailable"`
}

// Objective is a service-level objective of one class of a service.
type Objective struct {
	Class        Class         `protobuf:"varint,1,opt,name=class" yaml:"class"`
	Availability float64       `protobuf:"fixed64,2,opt,name=availability" yaml:"availability"` // share of good responses, 0 to 1
	Latency      time.Duration `protobuf:"varint,3,opt,name=latency" yaml:"latency"`            // a response within this time is fast
	FastShare    float64       `protobuf:"fixed64,4,opt,name=fast" yaml:"fast"`                 // share of fast responses, 0 to 1
}

// ClassRule assigns a class to the requests of a caller and kind. An empty field
// matches everything; the first matching rule of a service wins.
type ClassRule struct {
	Caller string `protobuf:"bytes,1,opt,name=caller" yaml:"caller"`
	Kind   string `protobuf:"bytes,2,opt,name=kind" yaml:"kind"`
	Class  Class  `protobuf:"varint,3,opt,name=class" yaml:"class"`
}

// Service is the configuration of one service.
type Service struct {
	Name          string        `protobuf:"bytes,1,opt,name=name" yaml:"name"`
	Keyed         bool          `protobuf:"varint,2,opt,name=keyed" yaml:"keyed"`    // sharded by key
	RangeBits     uint32        `protobuf:"varint,3,opt,name=bits" yaml:"bits"`      // there are 1<<RangeBits ranges; fixed at creation
	MaxRun        time.Duration `protobuf:"varint,4,opt,name=maxrun" yaml:"maxrun"`  // maximum run time of a request after the ownership check
	QueueLimit    uint32        `protobuf:"varint,5,opt,name=queue" yaml:"queue"`    // maximum number of requests that wait for each server
	Weights       Weights       `protobuf:"bytes,6,opt,name=weights" yaml:"weights"` // placement
	Objectives    []Objective   `protobuf:"bytes,7,rep,name=objectives" yaml:"objectives"`
	Rules         []ClassRule   `protobuf:"bytes,8,rep,name=rules" yaml:"rules"`
	DCs           []string      `protobuf:"bytes,9,rep,name=dcs" yaml:"dcs"`                // data centres whose endpoints may serve it; empty is all
	Idempotent    []string      `protobuf:"bytes,10,rep,name=idempotent" yaml:"idempotent"` // kinds that may run more than once whatever their method
	RecordTTL     time.Duration `protobuf:"varint,11,opt,name=recordttl" yaml:"recordttl"`  // how long an idempotency record is kept
	NonIdempotent []string      `protobuf:"bytes,12,rep,name=once" yaml:"once"`             // kinds that run at most once whatever their method
	// NumericKeys says that keys are 16-bit numbers and that a range consists of
	// consecutive keys, instead of a part of the hashed key space.
	NumericKeys bool          `protobuf:"varint,13,opt,name=numeric" yaml:"-"`
	Heartbeats  bool          `protobuf:"varint,14,opt,name=beats" yaml:"-"`     // servers receive their grants by heartbeats and check them
	MaxConns    uint32        `protobuf:"varint,15,opt,name=conns" yaml:"-"`     // connections that a server accepts
	HealthPath  string        `protobuf:"bytes,16,opt,name=health" yaml:"-"`     // of the servers' health check
	WarmUp      time.Duration `protobuf:"varint,17,opt,name=warmup" yaml:"-"`    // time for which keys are slow after a move without a token
	ColdTime    time.Duration `protobuf:"varint,18,opt,name=coldtime" yaml:"-"`  // how long a server is cold after its start; 0 is unknown
	ColdRate    float64       `protobuf:"fixed64,19,opt,name=coldrate" yaml:"-"` // requests a second that a cold server tolerates; 0 is no limit
}

// KeyBits is the length of the keys of numeric services, in bits.
const KeyBits = 16

// RangeOf returns the range of a key. ok is false when the key is not valid for
// a numeric service.
func (s Service) RangeOf(key string) (r Range, ok bool) {
	if !s.NumericKeys {
		return RangeOf(s.Name, key, s.RangeBits), true
	}
	n, err := strconv.ParseUint(key, 10, KeyBits)
	if err != nil {
		return 0, false
	}
	return Range(n >> (KeyBits - s.RangeBits)), true
}

// Keys returns the first and the last key of a range of a numeric service.
func (s Service) Keys(r Range) (first, last uint32) {
	width := uint32(1) << (KeyBits - s.RangeBits)
	return uint32(r) * width, uint32(r)*width + width - 1
}

// IsIdempotent reports whether a request of the method and kind may run more than
// once. A kind that the service lists decides, otherwise the method.
func (s Service) IsIdempotent(method, kind string) bool {
	switch {
	case kind != "" && slices.Contains(s.NonIdempotent, kind):
		return false
	case kind != "" && slices.Contains(s.Idempotent, kind):
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// NumRanges returns the number of ranges of the service.
func (s Service) NumRanges() int { return 1 << s.RangeBits }

// ClassOf returns the class of a request by the service's rules.
func (s Service) ClassOf(caller, kind string) Class {
	for _, r := range s.Rules {
		if (r.Caller == "" || r.Caller == caller) && (r.Kind == "" || r.Kind == kind) {
			return r.Class
		}
	}
	return ClassRoutine
}

// Caller is the configuration of one caller: its rate limit at each daemon.
type Caller struct {
	Name  string  `protobuf:"bytes,1,opt,name=name" yaml:"name"`
	Rate  float64 `protobuf:"fixed64,2,opt,name=rate" yaml:"rate"`  // requests a second at each daemon; 0 is unlimited
	Burst uint32  `protobuf:"varint,3,opt,name=burst" yaml:"burst"` // requests
}

// Member is one voter of the group. A data folder that was lost and recreated has
// another incarnation, so it is another member.
type Member struct {
	Name        string      `protobuf:"bytes,1,opt,name=name" yaml:"name"`
	Incarnation Incarnation `protobuf:"varint,2,opt,name=incarnation" yaml:"incarnation"`
	Addr        string      `protobuf:"bytes,3,opt,name=addr" yaml:"addr"`
}

// Spec is the content of a ticket. It replaces the services, callers and voters
// that it names; others stay.
type Spec struct {
	Services []Service `protobuf:"bytes,1,rep,name=services" yaml:"services"`
	Callers  []Caller  `protobuf:"bytes,2,rep,name=callers" yaml:"callers"`
	Voters   []Member  `protobuf:"bytes,3,rep,name=voters" yaml:"voters"` // empty leaves the group unchanged
	Remove   []string  `protobuf:"bytes,4,rep,name=remove" yaml:"remove"` // services to remove
}
