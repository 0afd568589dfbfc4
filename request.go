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

// RequestHead is everything of a request but its body.
type RequestHead struct {
	Service     string        `protobuf:"bytes,1,opt,name=service"`
	Key         string        `protobuf:"bytes,2,opt,name=key"` // empty when the caller gave none
	Caller      string        `protobuf:"bytes,3,opt,name=caller"`
	Kind        string        `protobuf:"bytes,4,opt,name=kind"`
	Method      string        `protobuf:"bytes,5,opt,name=method"`
	URI         string        `protobuf:"bytes,6,opt,name=uri"` // path and query given to the server
	Header      []Header      `protobuf:"bytes,7,rep,name=header"`
	Length      int64         `protobuf:"varint,8,opt,name=length"`      // bytes of the body; -1 when unknown
	Timeout     time.Duration `protobuf:"varint,9,opt,name=timeout"`     // time left when the head was sent
	Idempotency string        `protobuf:"bytes,10,opt,name=idempotency"` // the caller's idempotency key
	Attempt     uint32        `protobuf:"varint,11,opt,name=attempt"`    // 2 or more: the caller's own repeat
	Version     Version       `protobuf:"varint,12,opt,name=version"`    // the state by which it was routed
	Shard       Shard         `protobuf:"bytes,13,opt,name=shard"`       // empty service: not routed by shard
	Fence       Fence         `protobuf:"varint,14,opt,name=fence"`
	Safe        bool          `protobuf:"varint,15,opt,name=safe"` // idempotent: may run more than once
}

// Sharded reports whether the request was routed to the owner of a shard.
func (h RequestHead) Sharded() bool { return h.Shard.Service != "" }

// Request is one caller's request on its way to a server.
type Request struct {
	RequestHead
	Deadline time.Time // this process's own clock
	Body     io.Reader // nil when there is none
}

// ResponseHead is everything of a server's answer but its body.
type ResponseHead struct {
	Status int32    `protobuf:"varint,1,opt,name=status"`
	Header []Header `protobuf:"bytes,2,rep,name=header"`
	Length int64    `protobuf:"varint,3,opt,name=length"` // bytes of the body; -1 when unknown
	Owner  string   `protobuf:"bytes,4,opt,name=owner"`   // callers' address of the daemon that served it
}

// Response is a server's answer. The reader of Body gets io.EOF only after the
// whole body; an answer that was cut short ends with another error.
// Body is never nil and must be closed.
type Response struct {
	ResponseHead
	Body io.ReadCloser
}

// Handler runs one request. The error is always a *Failure. Cancelling ctx
// abandons the request, also while the body of the response is being read.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Response, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, r *Request) (*Response, error)

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, r *Request) (*Response, error) { return f(ctx, r) }
