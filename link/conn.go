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
	yamuxHeaderBytes = 12
	yamuxTypeData    = 0 // type of a data frame
	// tcpUserTimeout is TCP_USER_TIMEOUT, the socket option that limits how long
	// sent data may stay unacknowledged. Package syscall has no name for it.
	tcpUserTimeout = 18
)

// timeoutConn is the connection of a session. Writes fail after a timeout. yamux
// writes the header and the body of a frame separately; timeoutConn writes both
// with one system call. Only the session's send loop calls Write.
type timeoutConn struct {
	net.Conn
	timeout       time.Duration
	readEnded     chan struct{} // closed when a read has failed
	readEndedOnce sync.Once
	header        [yamuxHeaderBytes]byte
	headerPending bool      // header belongs to a frame whose body follows
	frame         [2][]byte // header and body
	buffers       net.Buffers
}

// Read implements io.Reader.
func (c *timeoutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.readEndedOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// Write implements io.Writer. After an error it closes the connection and waits
// until reading has failed too; see muxSession.
func (c *timeoutConn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if err != nil {
		_ = c.Close()
		t := time.NewTimer(2 * c.timeout) // the receive loop may itself be blocked in a write
		defer t.Stop()
		select {
		case <-c.readEnded:
		case <-t.C:
		}
	}
	return n, err
}

func (c *timeoutConn) write(b []byte) (int, error) {
	if !c.headerPending {
		if len(b) == yamuxHeaderBytes && b[1] == yamuxTypeData && binary.BigEndian.Uint32(b[8:]) > 0 {
			copy(c.header[:], b)
			c.headerPending = true
			return len(b), nil
		}
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	c.headerPending = false
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	c.frame[0], c.frame[1] = c.header[:], b
	c.buffers = c.frame[:]
	n, err := c.buffers.WriteTo(c.Conn)
	c.frame = [2][]byte{}
	return max(int(n)-yamuxHeaderBytes, 0), err
}

// setSocketOptions sets the socket options of a new connection. Without a limit on
// unacknowledged data, a connection that was interrupted for some seconds stays
// silent for as long again after the network has recovered, because TCP doubles
// its retransmission interval.
func setSocketOptions(c net.Conn, userTimeout time.Duration) error {
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
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// yamuxLogger writes the log lines of yamux at a verbose level: a lost connection is
// a normal event, and the user of the session logs it.
type yamuxLogger struct{}

func (yamuxLogger) Print(v ...any)                 { klog.V(3).Info(v...) }
func (yamuxLogger) Printf(format string, v ...any) { klog.V(3).Infof(format, v...) }
func (yamuxLogger) Println(v ...any)               { klog.V(3).Infoln(v...) }

// muxSession is a yamux session. When a yamux session is closed while its receive
// loop runs, every goroutine that waits on a stream spins until that loop has ended,
// which takes 10 ms for each of them on a single processor. So Close ends the
// receive loop first, and the loop closes the session.
type muxSession struct {
	*yamux.Session
	conn *timeoutConn
}

// Close closes the session and waits for its goroutines.
func (m *muxSession) Close() error {
	_ = m.conn.Close()
	<-m.CloseChan()
	return m.Session.Close()
}

// newSession starts a yamux session on a connection after the handshake.
func (n *Node) newSession(c net.Conn, dialled bool, p sessionPurpose) (*muxSession, error) {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = nil
	cfg.Logger = yamuxLogger{}
	cfg.StreamOpenTimeout = 0 // it costs a goroutine for each stream; write timeouts detect a dead peer
	cfg.StreamCloseTimeout = n.cfg.IdleTimeout
	cfg.EnableKeepAlive = false // see keepAlive
	cfg.AcceptBacklog, cfg.ConnectionWriteTimeout = numLanes, n.cfg.ControlWriteTimeout
	if p == purposeRequests {
		cfg.AcceptBacklog, cfg.ConnectionWriteTimeout = acceptBacklog, n.cfg.RequestWriteTimeout
	}
	w := &timeoutConn{Conn: c, timeout: cfg.ConnectionWriteTimeout, readEnded: make(chan struct{})}
	start := yamux.Server
	if dialled {
		start = yamux.Client
	}
	y, err := start(w, cfg)
	if err != nil {
		return nil, err
	}
	m := &muxSession{Session: y, conn: w}
	if p == purposeRequests && !n.spawn(func() { n.keepAlive(m) }) {
		_ = m.Close()
		return nil, ErrClosed
	}
	return m, nil
}

// keepAlive pings the peer of a request session, and closes the session when there
// is no reply. Control sessions need no pings, since lease renewals detect a dead
// peer.
func (n *Node) keepAlive(m *muxSession) {
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
