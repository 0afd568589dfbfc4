package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// countedBody is a body that counts the bytes that are read from it.
type countedBody struct {
	io.Reader
	read atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	return n, err
}

func largeRequest(body io.Reader, length int64) *pollenlatch.Request {
	r := request(body, length)
	r.LargeBody = true
	return r
}

// readAll returns the body of a request as the response. With explicit, it requests the
// body in parts of the given size before it reads.
func readAll(explicit int) pollenlatch.HandlerFunc {
	return func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if b, ok := r.Body.(pollenlatch.RequestedBody); ok && explicit > 0 {
			for n := int64(0); n < r.Length; n += int64(explicit) {
				if err := b.Request(int(min(int64(explicit), r.Length-n))); err != nil {
					return nil, err
				}
			}
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		return response(bytes.NewReader(data), int64(len(data))), nil
	}
}

// Guards against large bodies that lose, duplicate or reorder bytes, or leave bytes on
// the stream that the next request is read from.
func TestRequestedBodies(t *testing.T) {
	for _, explicit := range []int{0, 5000} {
		client, _, addr := pair(t, readAll(explicit))
		for _, size := range []int{maxInlineBody - 1, maxInlineBody + 1, 60_000, 360_000} {
			for _, length := range []int64{int64(size), -1} {
				if explicit > 0 && length < 0 {
					continue
				}
				t.Run(fmt.Sprintf("%d bytes, stated %d, requested by %d", size, length, explicit), func(t *testing.T) {
					data := make([]byte, size)
					for i := range data {
						data[i] = byte(i * 7 >> 3)
					}
					for range 3 {
						resp, err := client.Forward(t.Context(), addr, largeRequest(onlyReader{bytes.NewReader(data)}, length))
						require.NoError(t, err)
						got, err := io.ReadAll(resp.Body)
						require.NoError(t, err)
						require.True(t, bytes.Equal(data, got))
						require.NoError(t, resp.Body.Close())
					}
				})
			}
		}
		require.LessOrEqual(t, sessionStreams(client, addr), 2, "streams were not reused")
	}
}

// sessionStreams returns the number of open streams of the session to addr.
func sessionStreams(n *Node, addr string) int {
	n.outbound.mu.Lock()
	defer n.outbound.mu.Unlock()
	return n.outbound.sessions[addr].mux.NumStreams()
}

// Guards against bodies that are sent although the request is refused, and against a
// stream that is given up because of a body of which no byte was sent.
func TestRefusalBeforeBody(t *testing.T) {
	want := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonOverloaded, Detail: "d", Status: 503, RetryAfter: 1}
	client, _, addr := pair(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if r.Key == "other" {
			return readAll(0)(ctx, r)
		}
		return nil, want
	})
	for n := range 5 {
		body := &countedBody{Reader: bytes.NewReader(make([]byte, 100<<10))}
		_, err := client.Forward(t.Context(), addr, largeRequest(body, 100<<10))
		require.Equal(t, want, err)
		require.Zero(t, body.read.Load(), "bytes of the body of a refused request were sent")
		client.revoke(t.Context(), addr, 1, time.Now(), time.Second)
		answered, _ := client.Revocations()
		require.EqualValues(t, n+1, answered, "a revocation behind the refusal was not answered")
		r := largeRequest(onlyReader{bytes.NewReader(make([]byte, 30_000))}, 30_000)
		r.Key = "other"
		resp, err := client.Forward(t.Context(), addr, r)
		require.NoError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.EqualValues(t, 30_000, n)
	}
	require.LessOrEqual(t, sessionStreams(client, addr), 2, "streams were not reused")
}

// Guards against a request that counts as possibly run, and is not sent again, although
// its body was never requested.
func TestEndBeforeBodyIsRequested(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(owner *Node, cancel func(), r *pollenlatch.Request)
		reason pollenlatch.Reason
	}{
		{"caller leaves", func(_ *Node, cancel func(), _ *pollenlatch.Request) { cancel() }, pollenlatch.ReasonCancelled},
		{"deadline passes", nil, pollenlatch.ReasonDeadlineExceeded},
		{"receiver ends", func(owner *Node, _ func(), _ *pollenlatch.Request) { go func() { _ = owner.Close() }() }, pollenlatch.ReasonUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			client, owner, addr := pair(t, func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
				close(started)
				<-ctx.Done()
				close(ended)
				// The handler's own failure may arrive before the session ends.
				return nil, &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: c.reason, Status: http.StatusServiceUnavailable}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			body := &countedBody{Reader: bytes.NewReader(make([]byte, 100<<10))}
			r := largeRequest(body, 100<<10)
			if c.end == nil {
				r.Deadline = time.Now().Add(100 * time.Millisecond)
			}
			go func() {
				<-started
				if c.end != nil {
					c.end(owner, cancel, r)
				}
			}()
			_, err := client.Forward(ctx, addr, r)
			requireFailure(t, err, pollenlatch.OutcomeNotRun, c.reason)
			<-ended
			require.Zero(t, body.read.Load())
		})
	}
}

// Guards against a truncated body that the handler takes for a complete one, and against
// a handler that waits for the rest of it.
func TestSenderEndsDuringBody(t *testing.T) {
	result := make(chan error, 1)
	client, _, addr := pair(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		n, err := io.Copy(io.Discard, r.Body)
		result <- err
		return nil, fmt.Errorf("%d bytes: %w", n, err)
	})
	lost := errors.New("caller lost")
	body := io.MultiReader(bytes.NewReader(make([]byte, 50_000)), readerFunc(func([]byte) (int, error) { return 0, lost }))
	_, err := client.Forward(t.Context(), addr, largeRequest(body, 100_000))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	require.Error(t, <-result)
}

// Guards against a request that counts as not run although its receiver was lost after it
// had requested the body.
func TestReceiverEndsAfterRequest(t *testing.T) {
	requested := make(chan struct{})
	client, owner, addr := pair(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		if err := r.Body.(pollenlatch.RequestedBody).Request(1000); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(r.Body, make([]byte, 1000)); err != nil {
			return nil, err
		}
		close(requested)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go func() {
		<-requested
		_ = owner.Close()
	}()
	body := &countedBody{Reader: bytes.NewReader(make([]byte, 100<<10))}
	_, err := client.Forward(t.Context(), addr, largeRequest(body, 100<<10))
	requireFailure(t, err, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
	require.EqualValues(t, 1000, body.read.Load(), "more was sent than was requested")
}

// Guards against a peer that sends a body without being asked, or a head in its place,
// and against one that requests a body which it has received.
func TestMalformedBodyRequests(t *testing.T) {
	head := func(number uint32) []byte {
		b, err := pollenlatch.Encode(&largeRequest(nil, 100_000).RequestHead)
		require.NoError(t, err)
		return appendNumbered(nil, kindHead, number, b)
	}
	for name, frames := range map[string][]byte{
		"chunk": append(head(0), appendFrame(nil, kindChunk, make([]byte, 100))...),
		"head":  append(head(0), head(1)...),
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			_, addr := testNode(t, "b", func(c *Config) {
				c.RequestHandler = pollenlatch.HandlerFunc(func(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
					defer close(ended)
					<-ctx.Done()
					return nil, ctx.Err()
				})
			})
			client, _ := testNode(t, "a", nil)
			s, err := client.acquireSession(t.Context(), addr, time.Now().Add(time.Hour))
			require.NoError(t, err)
			st, err := s.acquireStream()
			require.NoError(t, err)
			_, err = st.Write(frames)
			require.NoError(t, err)
			<-ended
			_ = st.Close()
			client.releaseSession(s, nil)
		})
	}
	t.Run("request for a body that was sent", func(t *testing.T) {
		x := &exchange{}
		require.ErrorIs(t, x.handleBodyRequest(binary.BigEndian.AppendUint32(nil, 1)), errMalformedFrame)
		x.credit = newBodyCredit()
		require.ErrorIs(t, x.handleBodyRequest(nil), errMalformedFrame)
	})
}

// Guards against requests without LargeBody that wait until their bodies are requested.
func TestOtherBodiesAreSentAtOnce(t *testing.T) {
	require.False(t, sentOnRequest(&pollenlatch.RequestHead{Method: http.MethodPost, Length: 1 << 20}))
	require.False(t, sentOnRequest(&pollenlatch.RequestHead{LargeBody: true, Length: maxInlineBody}))
	require.True(t, sentOnRequest(&pollenlatch.RequestHead{LargeBody: true, Length: -1}))
}
