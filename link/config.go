package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

// Defaults of Config.
const (
	DefaultControlWriteTimeout = 250 * time.Millisecond
	// DefaultRequestWriteTimeout tolerates a link that is saturated for a while,
	// because a session that is closed fails all requests on it. TCPUserTimeout
	// detects a dead peer sooner.
	DefaultRequestWriteTimeout = 3 * time.Second
	DefaultDialTimeout         = 250 * time.Millisecond
	DefaultHandshakeTimeout    = time.Second
	DefaultTCPUserTimeout      = 500 * time.Millisecond
	DefaultKeepAliveInterval   = 2 * time.Second
	DefaultIdleTimeout         = 30 * time.Second
	DefaultMaxRequestSessions  = 256
)

const minKeyBytes = 16

// ErrInvalidConfig says that a setting of a node is invalid.
var ErrInvalidConfig = errors.New("invalid link configuration")

// Config is the configuration of a node. A zero duration or number stands for its
// default.
type Config struct {
	Group       string
	Name        string // of this instance
	Incarnation pollenlatch.Incarnation
	Key         []byte // shared by the group; at least 16 bytes

	// ControlHandler handles the control messages of other daemons. One goroutine
	// of each stream calls it, so it must not block for long. When it is nil,
	// control sessions of other daemons are refused.
	ControlHandler func(from Peer, m *pollenlatch.Message)
	// RequestHandler handles the requests that other daemons forward. When it is
	// nil, their request sessions are refused.
	RequestHandler pollenlatch.Handler

	// Pacer paces large responses on this instance's network link. When it is nil,
	// they are sent as fast as the peer reads.
	Pacer pollenlatch.Pacer

	// RecordReceived is called with the number of bytes that arrive for requests and
	// responses, apart from the bodies that the handler requests. nil: it is not called.
	RecordReceived func(n int)
	Metrics        *metrics.Set // nil: metrics are not exported

	// Adaptive reports whether the parts for overload apply: requests can be revoked. nil:
	// they do not.
	Adaptive func() bool

	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	ControlWriteTimeout time.Duration // maximum time of a write on a control session
	RequestWriteTimeout time.Duration // maximum time of a write on a request session, and of a ping
	DialTimeout         time.Duration
	HandshakeTimeout    time.Duration
	TCPUserTimeout      time.Duration // maximum time that sent data may stay unacknowledged
	KeepAliveInterval   time.Duration // interval of pings on request sessions
	IdleTimeout         time.Duration // time after which an idle session is closed
	MaxRequestSessions  int           // maximum number of request sessions in each direction
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		var d net.Dialer
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	for _, v := range []struct {
		d *time.Duration
		n time.Duration
	}{
		{&c.ControlWriteTimeout, DefaultControlWriteTimeout},
		{&c.RequestWriteTimeout, DefaultRequestWriteTimeout},
		{&c.DialTimeout, DefaultDialTimeout},
		{&c.HandshakeTimeout, DefaultHandshakeTimeout},
		{&c.TCPUserTimeout, DefaultTCPUserTimeout},
		{&c.KeepAliveInterval, DefaultKeepAliveInterval},
		{&c.IdleTimeout, DefaultIdleTimeout},
	} {
		if *v.d == 0 {
			*v.d = v.n
		}
	}
	if c.RecordReceived == nil {
		c.RecordReceived = func(int) {}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.MaxRequestSessions == 0 {
		c.MaxRequestSessions = DefaultMaxRequestSessions
	}
	return c
}

// Check returns an error that wraps ErrInvalidConfig when a setting is missing or
// invalid.
func (c Config) Check() error {
	switch {
	case c.Name == "":
		return fmt.Errorf("%w: instance name is empty", ErrInvalidConfig)
	case c.Incarnation == 0:
		return fmt.Errorf("%w: incarnation is 0", ErrInvalidConfig)
	case len(c.Key) < minKeyBytes:
		return fmt.Errorf("%w: shared key has %d bytes, at least %d are required", ErrInvalidConfig, len(c.Key), minKeyBytes)
	case c.MaxRequestSessions < 0:
		return fmt.Errorf("%w: maximum number of request sessions is %d", ErrInvalidConfig, c.MaxRequestSessions)
	default:
		return nil
	}
}
