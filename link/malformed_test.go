package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// fakeOwner accepts request sessions and runs script for the first request of each
// stream. It returns its address.
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
			_, mux, err := n.acceptSession(c)
			if err != nil {
				continue
			}
			wg.Go(func() {
				for {
					y, err := mux.AcceptStream()
					if err != nil {
						return
					}
					if y.StreamID() == signalStreamID {
						continue
					}
					wg.Go(func() {
						r := bufio.NewReader(y)
						_, b, err := readFrame(r, maxHeadBytes)
						if err != nil {
							return
						}
						number, _, _ := splitNumber(b)
						script(y, r, number)
						_ = y.Close()
					})
				}
			})
		}
	})
	return l.Addr().String()
}

func responseFrames(t *testing.T, number uint32, length int64, body string) []byte {
	t.Helper()
	b, err := pollenlatch.Encode(&pollenlatch.ResponseHead{Status: 200, Length: length})
	require.NoError(t, err)
	return appendFrame(appendNumbered(nil, kindResponse, number, b), kindChunk, []byte(body))
}

// A response that is truncated, or that belongs to another exchange, must never
// reach the caller as a complete one.
func TestForwardMalformedResponses(t *testing.T) {
	end := appendFrame(nil, kindEnd, []byte{reuseStream})
	for _, c := range []struct {
		name string
		out  func(number uint32) []byte
	}{
		{"no response", func(uint32) []byte { return nil }},
		{"truncated head", func(n uint32) []byte { return responseFrames(t, n, 4, "body")[:7] }},
		{"truncated body", func(n uint32) []byte { b := responseFrames(t, n, 4, "body"); return b[:len(b)-1] }},
		{"no end mark", func(n uint32) []byte { return responseFrames(t, n, 4, "body") }},
		{"no end mark, length unknown", func(n uint32) []byte { return responseFrames(t, n, -1, "body") }},
		{"shorter than stated", func(n uint32) []byte { return append(responseFrames(t, n, 5, "body"), end...) }},
		{"longer than stated", func(n uint32) []byte { return append(responseFrames(t, n, 3, "body"), end...) }},
		{"response of another exchange", func(n uint32) []byte { return append(responseFrames(t, n+1, 4, "body"), end...) }},
		{"body without head", func(uint32) []byte { return appendFrame(nil, kindChunk, []byte("body")) }},
		{"failure without outcome", func(n uint32) []byte { return appendNumbered(nil, kindFailure, n, []byte{reuseStream}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := fakeOwner(t, func(y *yamux.Stream, _ *bufio.Reader, number uint32) { _, _ = y.Write(c.out(number)) })
			client, _ := testNode(t, "a", nil)
			resp, err := client.Forward(t.Context(), addr, request(nil, 0))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
		})
	}
}

// A response that arrives twice must not become the response to the next request.
func TestForwardDuplicateResponse(t *testing.T) {
	addr := fakeOwner(t, func(y *yamux.Stream, r *bufio.Reader, number uint32) {
		frames := append(responseFrames(t, number, 4, "body"), appendFrame(nil, kindEnd, []byte{reuseStream})...)
		_, _ = y.Write(append(frames, frames...))
		_, _ = io.Copy(io.Discard, r)
	})
	client, _ := testNode(t, "a", nil)
	resp, err := client.Forward(t.Context(), addr, request(nil, 0))
	require.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(got))
	_, err = client.Forward(t.Context(), addr, request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
}

// A request body with malformed frames must not reach the handler as a complete one:
// the server would run a request that the caller did not send.
func TestServeMalformedRequests(t *testing.T) {
	head := func(number uint32, length int64) []byte {
		b, err := pollenlatch.Encode(&pollenlatch.RequestHead{Service: "claims", Method: "POST", Length: length, Timeout: time.Hour})
		require.NoError(t, err)
		return appendNumbered(nil, kindHead, number, b)
	}
	chunk := func(n int) []byte { return appendFrame(nil, kindChunk, make([]byte, n)) }
	end := appendFrame(nil, kindEnd, nil)
	const size = 2 * maxInlineBody
	for name, frames := range map[string][][]byte{
		"no end mark":         {head(0, size), chunk(size)},
		"truncated chunk":     {head(0, size), chunk(size)[:size]},
		"shorter than stated": {head(0, size), chunk(size - 1), end},
		"longer than stated":  {head(0, size), chunk(size), chunk(1), end},
		"inline, no end mark": {head(0, 8), chunk(8)},
		"inline, longer":      {head(0, 8), chunk(8), chunk(1), end},
		"inline, two chunks":  {head(0, 8), chunk(4), chunk(5), end},
		"empty chunk":         {head(0, -1), chunk(0), end},
		"chunk too large":     {head(0, -1), chunk(maxChunkBytes + 1), end},
		"two heads":           {head(0, -1), chunk(8), head(1, -1), end},
		"control frame":       {head(0, -1), appendFrame(nil, kindMessage, []byte("x")), end},
	} {
		t.Run(name, func(t *testing.T) {
			client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					t.Error("the handler read a complete body")
				}
				return nil, unreachable("x")
			})
			_, mux, err := client.dial(t.Context(), addr, purposeRequests, client.cfg.DialTimeout)
			require.NoError(t, err)
			defer func() { _ = mux.Close() }()
			var y *yamux.Stream
			for range 2 { // the first stream is the signal stream
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

// A body of a caller that is incomplete must not be sent with an end mark.
func TestForwardOmitsEndMark(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"error":     io.MultiReader(strings.NewReader("part"), failingReader{}),
		"too short": onlyReader{strings.NewReader("part")},
		"too long":  onlyReader{strings.NewReader("more than stated")},
	} {
		t.Run(name, func(t *testing.T) {
			kinds := make(chan frameKind, 8)
			addr := fakeOwner(t, func(_ *yamux.Stream, r *bufio.Reader, _ uint32) {
				defer close(kinds)
				for {
					k, _, err := readFrame(r, maxChunkBytes)
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

// A request to a frozen daemon must fail by keep-alive: TCP does not notice a
// process that no longer reads.
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
		frozen <- c // nothing reads from the connection any more
	}()
	client, _ := testNode(t, "a", func(c *Config) { c.KeepAliveInterval = 10 * time.Millisecond })
	_, err = client.Forward(t.Context(), l.Addr().String(), request(nil, 0))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	require.NoError(t, (<-frozen).Close())
}

// Malformed frames of an authenticated peer must not reach the handler.
func TestControlRejectsMalformedFrames(t *testing.T) {
	encoded, err := pollenlatch.Encode(renew(1))
	require.NoError(t, err)
	for name, b := range map[string][]byte{
		"empty message":     appendFrame(nil, kindMessage, nil),
		"malformed message": appendFrame(nil, kindMessage, []byte{0xff, 0xff}),
		"request head":      appendFrame(nil, kindHead, encoded),
		"oversized frame":   {0xff, 0xff, 0xff, 0xff, byte(kindMessage)},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := testNode(t, "b", func(c *Config) {
				c.ControlHandler = func(Peer, *pollenlatch.Message) { t.Error("the handler was called") }
			})
			client, _ := testNode(t, "a", nil)
			_, mux, err := client.dial(t.Context(), addr, purposeControl, client.cfg.DialTimeout)
			require.NoError(t, err)
			for range numLanes {
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

// A forwarded response with an invalid status must not reach the caller.
func TestForwardInvalidStatus(t *testing.T) {
	for status, valid := range map[int32]bool{0: false, 99: false, 200: true, 599: true, 600: false, 999: false} {
		t.Run(strconv.Itoa(int(status)), func(t *testing.T) {
			client, _, addr := pair(t, func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
				resp := response(strings.NewReader("hello"), 5)
				resp.Status = status
				return resp, nil
			})
			resp, err := client.Forward(t.Context(), addr, request(nil, 0))
			if !valid {
				requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
				return
			}
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		})
	}
}
