package pollenlatch

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ItemKind is the kind of a configuration item.
type ItemKind uint32

// Kinds of configuration items.
const (
	ItemRoute   ItemKind = 1
	ItemService ItemKind = 2
	ItemLimits  ItemKind = 3 // at most one, with an empty name
)

// ConfigItem is one named part of the configuration with its own revision. For
// each name the highest revision is in force, whether it sets or deletes the item.
type ConfigItem struct {
	Kind     ItemKind `protobuf:"varint,1,opt,name=kind"`
	Name     string   `protobuf:"bytes,2,opt,name=name"`
	Revision uint64   `protobuf:"varint,3,opt,name=revision"`
	Deleted  bool     `protobuf:"varint,4,opt,name=dropped"`
	Raw      []byte   `protobuf:"bytes,5,opt,name=text"` // as the operator sent it; empty when deleted
	Route    *Route   `protobuf:"bytes,6,opt,name=route"`
	Service  *Service `protobuf:"bytes,7,opt,name=service"`
	Limits   *Limits  `protobuf:"bytes,8,opt,name=limits"`
}

// ConfigChange is a command that changes several items atomically.
type ConfigChange struct {
	ID    uint64       `protobuf:"fixed64,1,opt,name=id"` // identifies the proposal while it waits for a verdict
	Items []ConfigItem `protobuf:"bytes,2,rep,name=items"`
}

// Errors of configuration items.
var (
	ErrIncompleteItem = errors.New("item is incomplete")
	ErrNoHost         = errors.New("host is empty")
	ErrBadPrefix      = errors.New("path prefix does not begin with a slash")
	ErrNoRouteService = errors.New("route names no service")
	ErrNoWeight       = errors.New("no service of the route has a weight above 0")
	ErrNoTimeout      = errors.New("timeout is not above 0")
)

// Check reports whether every item is complete.
func (c *ConfigChange) Check() error {
	for n := range c.Items {
		i := &c.Items[n]
		if err := i.Check(); err != nil {
			return fmt.Errorf("item %q: %w", i.Name, err)
		}
	}
	return nil
}

// Check reports whether the item has a name and the content of its kind.
func (i *ConfigItem) Check() error {
	switch {
	case i.Name == "" && i.Kind != ItemLimits:
		return ErrNoName
	case i.Deleted:
		return nil
	case i.Kind == ItemRoute && i.Route != nil:
		return i.Route.Check()
	case i.Kind == ItemService && i.Service != nil, i.Kind == ItemLimits && i.Limits != nil:
		return nil
	default:
		return ErrIncompleteItem
	}
}

// Route selects requests by host and path, and says which services they go to and
// how.
type Route struct {
	Name          string            `protobuf:"bytes,1,opt,name=name"`
	Host          string            `protobuf:"bytes,2,opt,name=host"`
	Prefix        string            `protobuf:"bytes,3,opt,name=prefix"`   // path prefix; the longest match wins
	Idempotent    bool              `protobuf:"varint,4,opt,name=safe"`    // requests may run more than once
	Bulk          bool              `protobuf:"varint,5,opt,name=bulk"`    // responses are large
	Timeout       time.Duration     `protobuf:"varint,6,opt,name=timeout"` // maximum time until the response
	LatencyTarget time.Duration     `protobuf:"varint,7,opt,name=target"`  // latency objective; 0 is none
	Class         Class             `protobuf:"varint,8,opt,name=class"`
	MaxAttempts   uint32            `protobuf:"varint,9,opt,name=attempts"` // servers that one request may be sent to; 0 means 1
	Services      []WeightedService `protobuf:"bytes,10,rep,name=parts"`
	LargeBody     bool              `protobuf:"varint,11,opt,name=largebody"` // request bodies are large
}

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string `protobuf:"bytes,1,opt,name=service"`
	Weight  uint32 `protobuf:"varint,2,opt,name=weight"` // relative to the route's other services
}

// Check reports whether the route can be served.
func (r *Route) Check() error {
	switch {
	case r.Host == "":
		return ErrNoHost
	case !strings.HasPrefix(r.Prefix, "/"):
		return ErrBadPrefix
	case r.Timeout <= 0:
		return ErrNoTimeout
	case len(r.Services) == 0:
		return ErrNoRouteService
	}
	total := uint64(0)
	for _, s := range r.Services {
		if s.Service == "" {
			return ErrNoRouteService
		}
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ErrNoWeight
	}
	return nil
}

// Limits are limits on what a caller may send, and how fast.
type Limits struct {
	MaxHeaderBytes int64         `protobuf:"varint,1,opt,name=header"`  // request line and headers
	MaxBodyBytes   int64         `protobuf:"varint,2,opt,name=body"`    // request body
	HeaderTimeout  time.Duration `protobuf:"varint,3,opt,name=receive"` // maximum time to receive a head
	IdleTimeout    time.Duration `protobuf:"varint,4,opt,name=idle"`    // maximum wait for the next request on a connection
}

// ConfigView is implemented by a View whose configuration has routes.
type ConfigView interface {
	// Configured reports whether any configuration has been received.
	Configured() bool
	// Route returns the route of the host with the longest prefix of path.
	Route(host, path string) (Route, bool)
	// Limits returns the limits for callers, or false when none are set.
	Limits() (Limits, bool)
}
