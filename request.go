package pollenlatch

import (
	"context"
	"io"
	"time"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `protobuf:"bytes,1,opt,name=name"`
	Value string `protobuf:"bytes,2,opt,name=value"`
}

// RequestHead is a request without its body.
type RequestHead struct {
	Service        string        `protobuf:"bytes,1,opt,name=service"`
	Key            string        `protobuf:"bytes,2,opt,name=key"` // empty when the caller gave none
	Caller         string        `protobuf:"bytes,3,opt,name=caller"`
	Kind           string        `protobuf:"bytes,4,opt,name=kind"`
	Method         string        `protobuf:"bytes,5,opt,name=method"`
	URI            string        `protobuf:"bytes,6,opt,name=uri"` // path and query for the server
	Header         []Header      `protobuf:"bytes,7,rep,name=header"`
	Length         int64         `protobuf:"varint,8,opt,name=length"`      // bytes of the body; -1 when unknown
	Timeout        time.Duration `protobuf:"varint,9,opt,name=timeout"`     // time left when the head was sent
	IdempotencyKey string        `protobuf:"bytes,10,opt,name=idempotency"` // the caller's idempotency key
	Attempt        uint32        `protobuf:"varint,11,opt,name=attempt"`    // attempt number of the caller; 2 or more is its own retry
	Version        Version       `protobuf:"varint,12,opt,name=version"`    // version of the state by which it was routed
	Shard          Shard         `protobuf:"bytes,13,opt,name=shard"`       // empty service: not routed by shard
	Fence          Fence         `protobuf:"varint,14,opt,name=fence"`
	Idempotent     bool          `protobuf:"varint,15,opt,name=safe"` // the request may run more than once
	// The following fields come from a Route. Without one the service's rules apply.
	Route       string        `protobuf:"bytes,16,opt,name=route"`
	ID          string        `protobuf:"bytes,17,opt,name=id"` // identifies the caller's attempt
	Class       Class         `protobuf:"varint,18,opt,name=class"`
	MaxAttempts uint32        `protobuf:"varint,19,opt,name=attempts"`  // servers that it may be sent to
	LatencyLeft time.Duration `protobuf:"varint,20,opt,name=target"`    // time left of the latency objective when the head was sent; negative when it has passed
	Bulk        bool          `protobuf:"varint,21,opt,name=bulk"`      // the response is large
	Nested      bool          `protobuf:"varint,22,opt,name=inner"`     // sent by a server while it runs another request
	Retried     bool          `protobuf:"varint,23,opt,name=repeat"`    // it was sent to a server before, or is nested in a request that was
	LargeBody   bool          `protobuf:"varint,24,opt,name=largebody"` // the body is large
	Returned    bool          `protobuf:"varint,25,opt,name=returned"`  // the caller was refused before and has come back
	Starved     bool          `protobuf:"varint,27,opt,name=starved"`   // its route is served too rarely, as its first instance sees it
	Receipt     uint64        `protobuf:"fixed64,26,opt,name=receipt"`  // identifies this attempt to its sender, which may revoke it; 0: it may not
	// ResponseLeft is the time left, when the head was sent, until the response must be
	// complete because the sender stops; 0 is no limit. Unlike Timeout it is not passed on to
	// the server: a request that might need longer is not begun.
	ResponseLeft time.Duration `protobuf:"varint,28,opt,name=end"`
}

// Routed reports whether the request matched a Route.
func (h RequestHead) Routed() bool { return h.Route != "" }

// Sharded reports whether the request was routed to the owner of a shard.
func (h RequestHead) Sharded() bool { return h.Shard.Service != "" }

// RequestTrace records the path of a request, for the log.
type RequestTrace struct {
	Hops     int    // attempts sent to daemons
	Sends    int    // attempts that reached a server
	Instance string // of the last attempt
	Fence    Fence
	Version  Version // of the state by which it was routed
	Nested   *NestedTimes
}

// NestedTimes says where a nested request with a response spent its time.
type NestedTimes struct {
	Entry  time.Duration // from its arrival until it was sent to a daemon for the last time
	Link   time.Duration // between the daemons, both ways
	Queue  time.Duration // until it had a slot
	Server time.Duration // in its slot
}

// Request is one caller's request on its way to a server.
type Request struct {
	RequestHead
	Trace        *RequestTrace // filled in by the router; nil when it is not logged
	Deadline     time.Time     // by the clock of this process
	SoftDeadline time.Time     // end of the latency objective; zero when there is none
	// Waited is how long the caller had been waiting before this attempt, as far
	// as that is known. SoftDeadline accounts for it.
	Waited time.Duration
	Body   io.Reader // nil when there is none
}

// ResponseHead is a response of a server without its body.
type ResponseHead struct {
	Status    int32       `protobuf:"varint,1,opt,name=status"`
	Header    []Header    `protobuf:"bytes,2,rep,name=header"`
	Length    int64       `protobuf:"varint,3,opt,name=length"`  // bytes of the body; -1 when unknown
	OwnerAddr string      `protobuf:"bytes,4,opt,name=owner"`    // address for callers of the daemon that served it
	Leaving   bool        `protobuf:"varint,5,opt,name=leaving"` // the server is leaving
	Hint      *ServerHint `protobuf:"bytes,6,opt,name=hint"`     // from the daemon beside the server; nil when it has none
	// The following times are set for nested requests: the time until the request had a
	// slot, and until the head of the response, at the daemon beside the server.
	QueueTime time.Duration `protobuf:"varint,7,opt,name=queued"`
	TotalTime time.Duration `protobuf:"varint,8,opt,name=took"`
}

// Response is a response of a server. Body returns io.EOF only after the complete
// body; a truncated response ends with another error. Body is never nil and must
// be closed.
type Response struct {
	ResponseHead
	Body io.ReadCloser
}

// Handler handles one request. The error is always a *Failure. Cancelling ctx
// aborts the request, also while the body of the response is being read.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Response, error)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, r *Request) (*Response, error)

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, r *Request) (*Response, error) { return f(ctx, r) }
