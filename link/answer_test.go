package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// fakeOwner accepts sessions for requests and runs script on each stream.
func fakeOwner(t *testing.T, script func(y *yamux.Stream, r *bufio.Reader, number uint32)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n, _ := testNode(t, "b", func(c *Config) { c.RequestHandler = pollenlatch.HandlerFunc(echo) })
	var wg sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, mux, err := n.admit(c)
			if err != nil {
				continue
			}
			wg.Go(func() {
				for {
					y, err := mux.AcceptStream()
					if err != nil {
						return
					}
					if y.StreamID() == signalStream {
						continue
					}
					wg.Go(func() {
						r := bufio.NewReader(y)
						_, b, err := readFrame(r, maxHead)
						if err != nil {
							return
						}
						number, _, _ := cutNumber(b)
						script(y, r, number)
						_ = y.Close()
					})
				}
			})
		}
	})
	return l.Addr().String()
}

func answerFrames(t *testing.T, number uint32, length int64, body string) []byte {
	t.Helper()
	b, err := pollenlatch.Encode(&pollenlatch.ResponseHead{Status: 200, Length: length})
	require.NoError(t, err)
	return appendFrame(appendNumbered(nil, kindAnswer, number, b), kindChunk, []byte(body))
}

// An answer that is cut short, or that belongs to another exchange, must never
// reach the caller as a complete one.
func TestForwardBadAnswers(t *testing.T) {
	end := appendFrame(nil, kindEnd, []byte{keepStream})
	for _, c := range []struct {
		name string
		out  func(number uint32) []byte
	}{
		{"no answer", func(uint32) []byte { return nil }},
		{"cut in the head", func(n uint32) []byte { return answerFrames(t, n, 4, "body")[:7] }},
		{"cut in the body", func(n uint32) []byte { b := answerFrames(t, n, 4, "body"); return b[:len(b)-1] }},
		{"no end mark", func(n uint32) []byte { return answerFrames(t, n, 4, "body") }},
		{"no end mark, length unknown", func(n uint32) []byte { return answerFrames(t, n, -1, "body") }},
		{"shorter than stated", func(n uint32) []byte { return append(answerFrames(t, n, 5, "body"), end...) }},
		{"longer than stated", func(n uint32) []byte { return append(answerFrames(t, n, 3, "body"), end...) }},
		{"another exchange's answer", func(n uint32) []byte { return append(answerFrames(t, n+1, 4, "body"), end...) }},
		{"body without head", func(uint32) []byte { return appendFrame(nil, kindChunk, []byte("body")) }},
		{"failure without outcome", func(n uint32) []byte { return appendNumbered(nil, kindFailure, n, []byte{keepStream}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := fakeOwner(t, func(y *yamux.Stream, _ *bufio.Reader, number uint32) { _, _ = y.Write(c.out(number)) })
			client, _ := testNode(t, "a", nil)
			w, err := client.Forward(t.Context(), addr, request(nil, 0))
			if err == nil {
				_, err = io.ReadAll(w.Body)
			}
			requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
		})
	}
}

// An answer that arrives twice must not become the answer to the next request.
func TestForwardDuplicateAnswer(t *testing.T) {
	addr := fakeOwner(t, func(y *yamux.Stream, r *bufio.Reader, number uint32) {
		once := append(answerFrames(t, number, 4, "body"), appendFrame(nil, kindEnd, []byte{keepStream})...)
		_, _ = y.Write(append(once, once...))
		_, _ = io.Copy(io.Discard, r)
	})
	client, _ := testNode(t, "a", nil)
	w, err := client.Forward(t.Context(), addr, request(nil, 0))
	require.NoError(t, err)
	got, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(got))
	_, err = client.Forward(t.Context(), addr, request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
}

// A body that does not keep to its frames must not reach the handler as a whole
// one: the server would run a request that the caller did not send.
func TestServeBadRequests(t *testing.T) {
	head := func(number uint32, length int64) []byte {
		b, err := pollenlatch.Encode(&pollenlatch.RequestHead{Service: "claims", Method: "POST", Length: length, Timeout: time.Hour})
		require.NoError(t, err)
		return appendNumbered(nil, kindHead, number, b)
	}
	chunk := func(n int) []byte { return appendFrame(nil, kindChunk, make([]byte, n)) }
	end := appendFrame(nil, kindEnd, nil)
	const size = 2 * smallBody
	for name, frames := range map[string][][]byte{
		"no end mark":            {head(0, size), chunk(size)},
		"cut in a chunk":         {head(0, size), chunk(size)[:size]},
		"shorter than stated":    {head(0, size), chunk(size - 1), end},
		"longer than stated":     {head(0, size), chunk(size), chunk(1), end},
		"short, without its end": {head(0, 8), chunk(8)},
		"short, longer":          {head(0, 8), chunk(8), chunk(1), end},
		"short, in two, longer":  {head(0, 8), chunk(4), chunk(5), end},
		"empty chunk":            {head(0, -1), chunk(0), end},
		"chunk too large":        {head(0, -1), chunk(maxChunk + 1), end},
		"two heads":              {head(0, -1), chunk(8), head(1, -1), end},
		"frame of control":       {head(0, -1), appendFrame(nil, kindMessage, []byte("x")), end},
	} {
		t.Run(name, func(t *testing.T) {
			client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					t.Error("the body looks complete")
				}
				return nil, unreachable("x")
			})
			_, mux, err := client.dial(t.Context(), addr, forData)
			require.NoError(t, err)
			defer func() { _ = mux.Close() }()
			var y *yamux.Stream
			for range 2 { // the first one is for signals
				y, err = mux.OpenStream()
				require.NoError(t, err)
			}
			for _, f := range frames {
				_, _ = y.Write(f)
			}
			require.NoError(t, y.Close())
			_, _ = io.Copy(io.Discard, y)
		})
	}
}

// A caller's body that breaks off must not be sent with an end mark.
func TestForwardSendsNoEnd(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"error":     io.MultiReader(strings.NewReader("part"), brokenReader{}),
		"too short": onlyReader{strings.NewReader("part")},
		"too long":  onlyReader{strings.NewReader("more than stated")},
	} {
		t.Run(name, func(t *testing.T) {
			kinds := make(chan kind, 8)
			addr := fakeOwner(t, func(_ *yamux.Stream, r *bufio.Reader, _ uint32) {
				defer close(kinds)
				for {
					k, _, err := readFrame(r, maxChunk)
					if err != nil {
						return
					}
					kinds <- k
				}
			})
			client, _ := testNode(t, "a", nil)
			_, err := client.Forward(t.Context(), addr, request(body, 5))
			requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
			for k := range kinds {
				require.Equal(t, kindChunk, k)
			}
		})
	}
}

// A request to a daemon that froze must not wait for TCP to notice.
func TestKeepAlive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	peer, _ := testNode(t, "b", func(c *Config) { c.RequestHandler = pollenlatch.HandlerFunc(echo) })
	frozen := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = peer.handshake(c, false, 0)
		}
		if err != nil {
			t.Error(err)
		}
		frozen <- c // and nothing more
	}()
	client, _ := testNode(t, "a", func(c *Config) { c.KeepAliveInterval = 10 * time.Millisecond })
	_, err = client.Forward(t.Context(), l.Addr().String(), request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	require.NoError(t, (<-frozen).Close())
}

// A peer that holds the key but sends nonsense must not reach the handler.
func TestControlRefusesNonsense(t *testing.T) {
	whole, err := pollenlatch.Encode(renew(1))
	require.NoError(t, err)
	for name, b := range map[string][]byte{
		"no message":        appendFrame(nil, kindMessage, nil),
		"damaged message":   appendFrame(nil, kindMessage, []byte{0xff, 0xff}),
		"frame of requests": appendFrame(nil, kindHead, whole),
		"endless frame":     {0xff, 0xff, 0xff, 0xff, byte(kindMessage)},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := testNode(t, "b", func(c *Config) {
				c.ControlHandler = func(Peer, *pollenlatch.Message) { t.Error("the handler was called") }
			})
			client, _ := testNode(t, "a", nil)
			_, mux, err := client.dial(t.Context(), addr, forControl)
			require.NoError(t, err)
			for range lanes {
				y, err := mux.OpenStream()
				if err != nil {
					break
				}
				_, _ = y.Write(b) // the peer may have closed the session
			}
			<-mux.CloseChan()
		})
	}
}
