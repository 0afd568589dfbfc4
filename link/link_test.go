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

// The tests fail when a goroutine of a node is still running after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = bytes.Repeat([]byte("k"), minKeyBytes)

// testNode returns a listening node and its address. configure may be nil.
func testNode(tb testing.TB, name string, configure func(*Config)) (*Node, string) {
	tb.Helper()
	cfg := Config{Group: "g", Name: name, Incarnation: 7, Key: testKey}
	if configure != nil {
		configure(&cfg)
	}
	n, err := New(cfg)
	require.NoError(tb, err)
	tb.Cleanup(func() { require.NoError(tb, n.Close()) })
	addr, err := n.Listen("127.0.0.1:0")
	require.NoError(tb, err)
	return n, addr.String()
}

// A node without an identity is refused by all peers; one without a key would
// authenticate any peer.
func TestConfigRejectsInvalidSettings(t *testing.T) {
	valid := Config{Name: "a", Incarnation: 1, Key: testKey}
	for name, set := range map[string]func(*Config){
		"no name":        func(c *Config) { c.Name = "" },
		"no incarnation": func(c *Config) { c.Incarnation = 0 },
		"short key":      func(c *Config) { c.Key = testKey[:minKeyBytes-1] },
		"negative limit": func(c *Config) { c.MaxRequestSessions = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := valid
			set(&cfg)
			_, err := New(cfg)
			require.ErrorIs(t, err, ErrInvalidConfig)
		})
	}
}

// If the length of a frame were not limited, one frame could exhaust the memory. A
// truncated frame must not look like the end of a body.
func TestReadFrameRejectsMalformedFrames(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"above the limit", appendFrame(nil, kindMessage, make([]byte, 9)), errMalformedFrame},
		{"above the maximum", []byte{0xff, 0, 0, 0, 1}, errMalformedFrame},
		{"truncated header", []byte{0, 0, 0}, io.ErrUnexpectedEOF},
		{"truncated payload", appendFrame(nil, kindMessage, make([]byte, 8))[:9], io.ErrUnexpectedEOF},
		{"no frame", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := readFrame(bufio.NewReader(bytes.NewReader(c.in)), 8)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// runHandshake performs both sides of a handshake and returns their errors.
func runHandshake(t *testing.T, dial, accept Config) (dialErr, acceptErr error) {
	t.Helper()
	a, b := net.Pipe()
	d := &Node{cfg: dial.withDefaults()}
	s := &Node{cfg: accept.withDefaults()}
	s.cfg.RequestHandler = pollenlatch.HandlerFunc(nil)
	done := make(chan error, 1)
	go func() {
		h, err := s.handshake(b, false, 0)
		if err == nil && (h.Name != dial.Name || h.Purpose != purposeRequests) {
			err = errors.New("hello has a wrong name or purpose")
		}
		if err != nil {
			_ = b.Close()
		}
		done <- err
	}()
	_, dialErr = d.handshake(a, true, purposeRequests)
	if dialErr != nil {
		_ = a.Close()
	}
	return dialErr, <-done
}

// A peer that is not authenticated must get no session: it could forward requests
// and vote.
func TestHandshake(t *testing.T) {
	local := Config{Group: "g", Name: "a", Incarnation: 1, Key: testKey}
	peer := local
	peer.Name = "b"
	t.Run("same key", func(t *testing.T) {
		d, a := runHandshake(t, local, peer)
		require.NoError(t, d)
		require.NoError(t, a)
	})
	t.Run("other key", func(t *testing.T) {
		other := peer
		other.Key = bytes.Repeat([]byte("x"), minKeyBytes)
		d, a := runHandshake(t, local, other)
		require.Error(t, d)
		require.ErrorIs(t, a, ErrInvalidProof)
	})
	t.Run("other group", func(t *testing.T) {
		other := peer
		other.Group = "h"
		d, a := runHandshake(t, local, other)
		require.Error(t, d)
		require.ErrorIs(t, a, ErrOtherGroup)
	})
}

// A proof that does not cover every field could be replayed. One that does not cover
// the role could be reflected to the side that made it.
func TestProofCoversAllFields(t *testing.T) {
	base := hello{Protocol: 1, Group: "g", Name: "a", Incarnation: 1, Purpose: purposeRequests, Nonce: make([]byte, nonceBytes)}
	other := base
	other.Name = "b"
	want := computeProof(testKey, roleDialler, &base, &other)
	for name, set := range map[string]func(*hello){
		"nonce":       func(h *hello) { h.Nonce = bytes.Repeat([]byte{1}, nonceBytes) },
		"group":       func(h *hello) { h.Group = "h" },
		"instance":    func(h *hello) { h.Name = "c" },
		"incarnation": func(h *hello) { h.Incarnation = 2 },
		"purpose":     func(h *hello) { h.Purpose = purposeControl },
	} {
		t.Run("own "+name, func(t *testing.T) {
			h := base
			set(&h)
			require.NotEqual(t, want, computeProof(testKey, roleDialler, &h, &other))
		})
		t.Run("other "+name, func(t *testing.T) {
			h := other
			set(&h)
			require.NotEqual(t, want, computeProof(testKey, roleDialler, &base, &h))
		})
	}
	t.Run("role", func(t *testing.T) {
		require.NotEqual(t, want, computeProof(testKey, roleAcceptor, &base, &other))
	})
}

func renew(seq uint64) *pollenlatch.Message {
	return &pollenlatch.Message{Renew: &pollenlatch.Renew{Seq: seq, Name: "a"}}
}

func snapshotChunk() *pollenlatch.Message {
	data := make([]byte, pollenlatch.ChunkBytes)
	return &pollenlatch.Message{Delta: &pollenlatch.Delta{Chunk: &pollenlatch.SnapshotChunk{Total: 1 << 30, Data: data}}}
}

// Replies must arrive on the session of the message. Otherwise a daemon could get a
// lease only if the leader can connect to its listener.
func TestControlReplies(t *testing.T) {
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

// A snapshot that the receiver is still processing must not delay a lease renewal.
func TestRenewalPassesSnapshot(t *testing.T) {
	release := make(chan struct{})
	chunks, got := make(chan string, 8), make(chan string, 1)
	_, addr := testNode(t, "b", func(c *Config) {
		c.ControlHandler = func(from Peer, m *pollenlatch.Message) {
			if m.Renew != nil {
				got <- from.Addr
				return
			}
			chunks <- from.Addr
			<-release
		}
	})
	a, _ := testNode(t, "a", nil)
	for range 8 { // more than the window of a stream
		a.Send(addr, snapshotChunk())
	}
	session := <-chunks
	a.Send(addr, renew(1))
	require.Equal(t, session, <-got, "must use the same session")
	close(release)
}

// A peer that was restarted at the same address must be reached again.
func TestControlReconnects(t *testing.T) {
	got := make(chan struct{}, 1)
	configure := func(c *Config) {
		c.ControlHandler = func(Peer, *pollenlatch.Message) {
			select {
			case got <- struct{}{}:
			default:
			}
		}
	}
	a, _ := testNode(t, "a", nil)
	first, addr := testNode(t, "b", configure)
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
	for { // a message that was written to the old connection is lost
		a.Send(addr, renew(2))
		select {
		case <-got:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// A queue without limits would exhaust the memory while a peer is unreachable. One
// that drops the newest frames would send outdated messages.
func TestQueueDropsOldest(t *testing.T) {
	t.Run("by number", func(t *testing.T) {
		var q queue
		for i := range maxQueueLength + 3 {
			require.Equal(t, i == 0, q.push([]byte{byte(i)}))
		}
		b, ok := q.pop(time.Now())
		require.True(t, ok)
		require.Equal(t, []byte{3}, b)
	})
	t.Run("by bytes", func(t *testing.T) {
		var q queue
		q.push([]byte("old"))
		q.push(make([]byte, maxQueueBytes))
		b, _ := q.pop(time.Now())
		require.Len(t, b, maxQueueBytes)
		require.Zero(t, q.bytes)
	})
	t.Run("by age", func(t *testing.T) {
		var q queue
		q.push([]byte("old"))
		_, ok := q.pop(time.Now().Add(maxQueueAge + time.Second))
		require.False(t, ok)
		require.True(t, q.push([]byte("new")), "an empty queue needs a new sending goroutine")
	})
}

// An idle control session must be closed, because it uses memory on both sides.
func TestIdleControlSessionCloses(t *testing.T) {
	got := make(chan struct{}, 1)
	_, addr := testNode(t, "b", func(c *Config) {
		c.ControlHandler = func(Peer, *pollenlatch.Message) { got <- struct{}{} }
	})
	a, _ := testNode(t, "a", nil)
	a.Send(addr, renew(1))
	<-got
	a.mu.Lock()
	require.Len(t, a.controlSessions, 1)
	a.mu.Unlock()
	a.closeIdle(time.Now().Add(a.cfg.IdleTimeout / 2))
	a.mu.Lock()
	require.Len(t, a.controlSessions, 1)
	a.mu.Unlock()
	a.closeIdle(time.Now().Add(a.cfg.IdleTimeout + time.Second))
	a.mu.Lock()
	require.Empty(t, a.controlSessions)
	a.mu.Unlock()
	a.Send(addr, renew(2))
	<-got
}
