package link

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"
)

const (
	yamuxHeader = 12 // bytes
	yamuxData   = 0  // type of a data frame
	// tcpUserTimeout is the socket option that bounds how long sent data may
	// stay unacknowledged. Package syscall has no name for it.
	tcpUserTimeout = 18
)

// conn is the connection under a session. It writes the header and the body of
// a yamux frame, which yamux hands over separately, with one system call, and
// fails a write that takes longer than timeout. Only the session's send loop
// writes.
type conn struct {
	net.Conn
	timeout time.Duration
	header  [yamuxHeader]byte
	held    bool
	parts   [2][]byte
	bufs    net.Buffers
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	if !c.held {
		if len(b) == yamuxHeader && b[1] == yamuxData && binary.BigEndian.Uint32(b[8:]) > 0 {
			copy(c.header[:], b)
			c.held = true
			return len(b), nil
		}
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	c.held = false
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	c.parts[0], c.parts[1] = c.header[:], b
	c.bufs = c.parts[:]
	n, err := c.bufs.WriteTo(c.Conn)
	c.parts = [2][]byte{}
	return max(int(n)-yamuxHeader, 0), err
}

// tune sets the socket options of a new connection. Without a bound on
// unacknowledged data a connection that was cut off for seconds stays silent
// for as long again after the path is repaired, because TCP doubles its
// retransmission interval.
func tune(c net.Conn, unacked time.Duration) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := t.SetNoDelay(true); err != nil {
		return err
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// logger passes yamux's log lines on at a verbose level: a lost connection is
// an ordinary event and is reported by the part that used it.
type logger struct{}

func (logger) Print(v ...any)                 { klog.V(3).Info(v...) }
func (logger) Printf(format string, v ...any) { klog.V(3).Infof(format, v...) }
func (logger) Println(v ...any)               { klog.V(3).Infoln(v...) }

// session starts a yamux session on a connection whose handshake is done.
func (n *Node) session(c net.Conn, dialled bool, p purpose) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = nil
	cfg.Logger = logger{}
	cfg.StreamOpenTimeout = 0 // costs a goroutine for each stream; the write timeout covers a dead peer
	cfg.StreamCloseTimeout = n.cfg.Idle
	cfg.ConnectionWriteTimeout = n.cfg.WriteTimeout
	cfg.AcceptBacklog = lanes
	if p == forData {
		cfg.AcceptBacklog = acceptBacklog
	}
	cfg.EnableKeepAlive = p == forData
	cfg.KeepAliveInterval = n.cfg.KeepAlive
	w := &conn{Conn: c, timeout: n.cfg.WriteTimeout}
	if dialled {
		return yamux.Client(w, cfg)
	}
	return yamux.Server(w, cfg)
}
