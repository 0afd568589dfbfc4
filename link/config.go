package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"pollenlatch"
)

// Defaults of Config.
const (
	DefaultControlWriteTimeout = 250 * time.Millisecond
	// DefaultRequestWriteTimeout lets a link that is full for a while carry on: a session that
	// breaks takes all requests on it along. A dead peer is found by Unacked.
	DefaultRequestWriteTimeout = 3 * time.Second
	DefaultDialTimeout         = 250 * time.Millisecond
	DefaultHandshakeTimeout    = time.Second
	DefaultTCPUserTimeout      = 500 * time.Millisecond
	DefaultKeepAliveInterval   = 2 * time.Second
	DefaultIdleTimeout         = 30 * time.Second
	DefaultMaxRequestSessions  = 256
)

const keyBytes = 16 // shortest shared key

// ErrInvalidConfig says that a setting of the links is wrong.
var ErrInvalidConfig = errors.New("link settings")

// Config is what a node is made of. Zero durations and numbers stand for the
// defaults.
type Config struct {
	Group       string
	Name        string // of this instance
	Incarnation pollenlatch.Incarnation
	Key         []byte // shared by the group; at least 16 bytes

	// ControlHandler takes the control messages of other daemons. It is called by
	// one goroutine for each stream and must not block for long. nil refuses
	// control sessions.
	ControlHandler func(from Peer, m *pollenlatch.Message)
	// RequestHandler runs the requests that other daemons forward. nil refuses them.
	RequestHandler pollenlatch.Handler

	// Pacer gives long answers their turns on this instance's network link; nil
	// sends them as fast as the peer reads.
	Pacer pollenlatch.Pacer

	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	ControlWriteTimeout time.Duration // longest write to a connection for control messages
	RequestWriteTimeout time.Duration // the same for requests, and longest wait for a ping
	DialTimeout         time.Duration
	HandshakeTimeout    time.Duration // longest handshake
	TCPUserTimeout      time.Duration // longest time that sent data stays unacknowledged
	KeepAliveInterval   time.Duration // interval of pings on sessions for request bodies
	IdleTimeout         time.Duration // an idle session is closed after this
	MaxRequestSessions  int           // most sessions for request bodies, in each direction
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
	if c.MaxRequestSessions == 0 {
		c.MaxRequestSessions = DefaultMaxRequestSessions
	}
	return c
}

// Check reports a setting that no node can work with.
func (c Config) Check() error {
	switch {
	case c.Name == "":
		return fmt.Errorf("%w: no instance name", ErrInvalidConfig)
	case c.Incarnation == 0:
		return fmt.Errorf("%w: no incarnation", ErrInvalidConfig)
	case len(c.Key) < keyBytes:
		return fmt.Errorf("%w: shared key has %d bytes, not %d", ErrInvalidConfig, len(c.Key), keyBytes)
	case c.MaxRequestSessions < 0:
		return fmt.Errorf("%w: %d sessions", ErrInvalidConfig, c.MaxRequestSessions)
	default:
		return nil
	}
}
