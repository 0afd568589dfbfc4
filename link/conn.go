package link

import (
	"encoding/binary"
	"net"
	"sync"
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
	ended   chan struct{} // closed when a read has failed
	once    sync.Once
	header  [yamuxHeader]byte
	held    bool
	parts   [2][]byte
	bufs    net.Buffers
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

// Write implements io.Writer. After an error the session's reading side has
// ended too; see mux.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if err != nil {
		_ = c.Close()
		t := time.NewTimer(2 * c.timeout) // the reading side may itself wait to write
		defer t.Stop()
		select {
		case <-c.ended:
		case <-t.C:
		}
	}
	return n, err
}

func (c *conn) write(b []byte) (int, error) {
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

// mux is a yamux session. When yamux closes a session by itself, every
// goroutine that waits in a stream spins until the session's reading side has
// ended; with one processor that takes 10 ms for each of them. So mux ends the
// reading side first, and it is that side that closes the session.
type mux struct {
	*yamux.Session
	conn *conn
}

// Close ends the session and waits for its goroutines.
func (m *mux) Close() error {
	_ = m.conn.Close()
	<-m.CloseChan()
	return m.Session.Close()
}

// session starts a yamux session on a connection whose handshake is done.
func (n *Node) session(c net.Conn, dialled bool, p purpose) (*mux, error) {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = nil
	cfg.Logger = logger{}
	cfg.StreamOpenTimeout = 0 // costs a goroutine for each stream; the write timeout covers a dead peer
	cfg.StreamCloseTimeout = n.cfg.IdleTimeout
	cfg.EnableKeepAlive = false // see keepAlive
	cfg.AcceptBacklog, cfg.ConnectionWriteTimeout = lanes, n.cfg.ControlWriteTimeout
	if p == forData {
		cfg.AcceptBacklog, cfg.ConnectionWriteTimeout = acceptBacklog, n.cfg.RequestWriteTimeout
	}
	w := &conn{Conn: c, timeout: cfg.ConnectionWriteTimeout, ended: make(chan struct{})}
	start := yamux.Server
	if dialled {
		start = yamux.Client
	}
	y, err := start(w, cfg)
	if err != nil {
		return nil, err
	}
	m := &mux{Session: y, conn: w}
	if p == forData && !n.spawn(func() { n.keepAlive(m) }) {
		_ = m.Close()
		return nil, ErrClosed
	}
	return m, nil
}

// keepAlive closes a session for requests whose peer does not answer. Control
// sessions need none: renewals do that work.
func (n *Node) keepAlive(m *mux) {
	t := time.NewTicker(n.cfg.KeepAliveInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-m.CloseChan():
			return
		case <-n.ctx.Done():
			_ = m.Close()
			return
		}
		if _, err := m.Ping(); err != nil {
			_ = m.Close()
			return
		}
	}
}
