package link

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"pollenlatch"
)

// Every test fails when a goroutine of a node outlives its Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = bytes.Repeat([]byte("k"), keyBytes)

// testNode returns a listening node and its address. set changes its settings.
func testNode(tb testing.TB, name string, set func(*Config)) (*Node, string) {
	tb.Helper()
	cfg := Config{Group: "g", Name: name, Incarnation: 7, Key: testKey}
	if set != nil {
		set(&cfg)
	}
	n, err := New(cfg)
	require.NoError(tb, err)
	tb.Cleanup(func() { require.NoError(tb, n.Close()) })
	addr, err := n.Listen("127.0.0.1:0")
	require.NoError(tb, err)
	return n, addr.String()
}

// A node without identity or key would be accepted by nobody, or by anybody.
func TestConfigRefuses(t *testing.T) {
	good := Config{Name: "a", Incarnation: 1, Key: testKey}
	for name, set := range map[string]func(*Config){
		"no name":        func(c *Config) { c.Name = "" },
		"no incarnation": func(c *Config) { c.Incarnation = 0 },
		"short key":      func(c *Config) { c.Key = testKey[:keyBytes-1] },
		"no sessions":    func(c *Config) { c.MaxRequestSessions = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := good
			set(&cfg)
			_, err := New(cfg)
			require.ErrorIs(t, err, ErrInvalidConfig)
		})
	}
}

// A length that is trusted lets one frame exhaust the memory, and a frame that
// is cut short must not look like the end of a body.
func TestReadFrameRefuses(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"above the limit", appendFrame(nil, kindMessage, make([]byte, 9)), errFrame},
		{"above any limit", []byte{0xff, 0, 0, 0, 1}, errFrame},
		{"cut in the header", []byte{0, 0, 0}, io.ErrUnexpectedEOF},
		{"cut in the payload", appendFrame(nil, kindMessage, make([]byte, 8))[:9], io.ErrUnexpectedEOF},
		{"no frame", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := readFrame(bufio.NewReader(bytes.NewReader(c.in)), 8)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// shake runs both sides of a handshake and returns their errors.
func shake(t *testing.T, dial, accept Config) (dialErr, acceptErr error) {
	t.Helper()
	a, b := net.Pipe()
	d := &Node{cfg: dial.withDefaults()}
	s := &Node{cfg: accept.withDefaults()}
	s.cfg.RequestHandler = pollenlatch.HandlerFunc(nil)
	done := make(chan error, 1)
	go func() {
		h, err := s.handshake(b, false, 0)
		if err == nil && (h.Name != dial.Name || h.Purpose != forData) {
			err = errors.New("the peer's identity is lost")
		}
		if err != nil {
			_ = b.Close()
		}
		done <- err
	}()
	_, dialErr = d.handshake(a, true, forData)
	if dialErr != nil {
		_ = a.Close()
	}
	return dialErr, <-done
}

// A stranger who gets a session may forward requests and vote.
func TestHandshake(t *testing.T) {
	good := Config{Group: "g", Name: "a", Incarnation: 1, Key: testKey}
	peer := good
	peer.Name = "b"
	t.Run("same key", func(t *testing.T) {
		d, a := shake(t, good, peer)
		require.NoError(t, d)
		require.NoError(t, a)
	})
	t.Run("other key", func(t *testing.T) {
		other := peer
		other.Key = bytes.Repeat([]byte("x"), keyBytes)
		d, a := shake(t, good, other)
		require.Error(t, d)
		require.ErrorIs(t, a, ErrInvalidProof)
	})
	t.Run("other group", func(t *testing.T) {
		other := peer
		other.Group = "h"
		d, a := shake(t, good, other)
		require.Error(t, d)
		require.ErrorIs(t, a, ErrOtherGroup)
	})
}

// A proof that does not cover a field, or that both roles share, can be
// replayed or sent back to its maker.
func TestProofCoversEverything(t *testing.T) {
	base := hello{Protocol: 1, Group: "g", Name: "a", Incarnation: 1, Purpose: forData, Nonce: make([]byte, nonceBytes)}
	other := base
	other.Name = "b"
	want := proof(testKey, roleDial, &base, &other)
	for name, set := range map[string]func(*hello){
		"nonce":       func(h *hello) { h.Nonce = bytes.Repeat([]byte{1}, nonceBytes) },
		"group":       func(h *hello) { h.Group = "h" },
		"instance":    func(h *hello) { h.Name = "c" },
		"incarnation": func(h *hello) { h.Incarnation = 2 },
		"purpose":     func(h *hello) { h.Purpose = forControl },
	} {
		t.Run("own "+name, func(t *testing.T) {
			h := base
			set(&h)
			require.NotEqual(t, want, proof(testKey, roleDial, &h, &other))
		})
		t.Run("other "+name, func(t *testing.T) {
			h := other
			set(&h)
			require.NotEqual(t, want, proof(testKey, roleDial, &base, &h))
		})
	}
	t.Run("role", func(t *testing.T) {
		require.NotEqual(t, want, proof(testKey, roleAccept, &base, &other))
	})
}

func renew(seq uint64) *pollenlatch.Message {
	return &pollenlatch.Message{Renew: &pollenlatch.Renew{Seq: seq, Name: "a"}}
}

func piece() *pollenlatch.Message {
	data := make([]byte, pollenlatch.ChunkBytes)
	return &pollenlatch.Message{Delta: &pollenlatch.Delta{Chunk: &pollenlatch.SnapshotChunk{Total: 1 << 30, Data: data}}}
}

// Without the answer on the same connection a daemon needs a listener that the
// leader can reach before it can get a lease.
func TestControlAnswers(t *testing.T) {
	_, addr := testNode(t, "b", func(c *Config) {
		c.ControlHandler = func(from Peer, m *pollenlatch.Message) {
			require.Equal(t, "a", from.Name)
			from.Send(&pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{Seq: m.Renew.Seq}})
		}
	})
	got := make(chan uint64, 2)
	a, _ := testNode(t, "a", func(c *Config) {
		c.ControlHandler = func(from Peer, m *pollenlatch.Message) {
			require.Equal(t, addr, from.Addr)
			got <- m.RenewReply.Seq
		}
	})
	a.Send(addr, renew(1))
	a.Send(addr, renew(2))
	require.Equal(t, uint64(1), <-got)
	require.Equal(t, uint64(2), <-got)
}

// A snapshot that is being taken in must not delay the renewal of a lease.
func TestRenewalPassesSnapshot(t *testing.T) {
	release := make(chan struct{})
	pieces, got := make(chan string, 8), make(chan string, 1)
	_, addr := testNode(t, "b", func(c *Config) {
		c.ControlHandler = func(from Peer, m *pollenlatch.Message) {
			if m.Renew != nil {
				got <- from.Addr
				return
			}
			pieces <- from.Addr
			<-release
		}
	})
	a, _ := testNode(t, "a", nil)
	for range 8 { // more than a stream's window
		a.Send(addr, piece())
	}
	session := <-pieces
	a.Send(addr, renew(1))
	require.Equal(t, session, <-got, "without a new session")
	close(release)
}

// A peer that restarts at its address must be reached again.
func TestControlReconnects(t *testing.T) {
	got := make(chan struct{}, 1)
	set := func(c *Config) {
		c.ControlHandler = func(Peer, *pollenlatch.Message) {
			select {
			case got <- struct{}{}:
			default:
			}
		}
	}
	a, _ := testNode(t, "a", nil)
	first, addr := testNode(t, "b", set)
	a.Send(addr, renew(1))
	<-got
	require.NoError(t, first.Close())
	<-first.Done()

	second, err := New(Config{Group: "g", Name: "b", Incarnation: 8, Key: testKey, ControlHandler: func(Peer, *pollenlatch.Message) {
		select {
		case got <- struct{}{}:
		default:
		}
	}})
	require.NoError(t, err)
	defer func() { require.NoError(t, second.Close()) }()
	_, err = second.Listen(addr)
	require.NoError(t, err)
	for { // a message is lost with the connection that it was written to
		a.Send(addr, renew(2))
		select {
		case <-got:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// A queue without bounds fills the memory while a peer is away; one that drops
// the newest keeps telling the peer old news.
func TestQueueDropsOldest(t *testing.T) {
	t.Run("by number", func(t *testing.T) {
		var q queue
		for i := range queueLength + 3 {
			require.Equal(t, i == 0, q.push([]byte{byte(i)}))
		}
		b, ok := q.pop(time.Now())
		require.True(t, ok)
		require.Equal(t, []byte{3}, b)
	})
	t.Run("by bytes", func(t *testing.T) {
		var q queue
		q.push([]byte("old"))
		q.push(make([]byte, queueBytes))
		b, _ := q.pop(time.Now())
		require.Len(t, b, queueBytes)
		require.Zero(t, q.bytes)
	})
	t.Run("by age", func(t *testing.T) {
		var q queue
		q.push([]byte("old"))
		_, ok := q.pop(time.Now().Add(queueAge + time.Second))
		require.False(t, ok)
		require.True(t, q.push([]byte("new")), "a drained queue needs a new goroutine")
	})
}

// A session that nothing uses costs memory on both sides.
func TestIdleControlCloses(t *testing.T) {
	got := make(chan struct{}, 1)
	_, addr := testNode(t, "b", func(c *Config) {
		c.ControlHandler = func(Peer, *pollenlatch.Message) { got <- struct{}{} }
	})
	a, _ := testNode(t, "a", nil)
	a.Send(addr, renew(1))
	<-got
	a.mu.Lock()
	require.Len(t, a.control, 1)
	a.mu.Unlock()
	a.reap(time.Now().Add(a.cfg.IdleTimeout / 2))
	a.mu.Lock()
	require.Len(t, a.control, 1)
	a.mu.Unlock()
	a.reap(time.Now().Add(a.cfg.IdleTimeout + time.Second))
	a.mu.Lock()
	require.Empty(t, a.control)
	a.mu.Unlock()
	a.Send(addr, renew(2))
	<-got
}
