package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

var errBodyClosed = errors.New("response body is closed")

// responseBody is the body of a response. The exchange ends when the body has been
// read to its end, has failed, or is closed. Close may be called during a Read.
type responseBody struct {
	x        *exchange
	resp     *fasthttp.Response
	stream   io.Reader
	reusable bool // the connection may be reused after the end of the body
	conn     *conn
	read     int64 // bytes of content
	from     int64 // conn.received when the body began

	mu   sync.Mutex
	err  error // returned by further reads
	once sync.Once
}

// maxFramingShare is the part of the maximum size of a body that its framing may take in
// addition: 1/8. Chunks of 5 bytes take twice the size of the content.
const maxFramingShare = 8

// Read returns io.EOF only after the complete body. Other errors are *Failure.
func (b *responseBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.stream.Read(p)
	b.read += int64(n)
	limit := b.x.relay.cfg.MaxResponseBytes
	if b.read > limit || b.conn.received-b.from > limit+limit/maxFramingShare {
		return 0, b.fail(failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonInvalidResponse, http.StatusBadGateway,
			fmt.Sprintf("response body exceeds the limit of %d bytes", limit)))
	}
	if err == nil {
		return n, nil
	}
	if err == io.EOF { //nolint:errorlint // fasthttp wraps io.EOF in the errors of truncated bodies
		b.err = io.EOF
		b.finish(nil)
		return n, io.EOF
	}
	f := failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, http.StatusBadGateway, "response was truncated: "+err.Error())
	if b.x.ctx.Err() != nil || isTimeout(err) {
		f = b.x.toFailure(err)
	}
	return n, b.fail(f)
}

// fail ends the exchange with a failure, which further reads return too.
func (b *responseBody) fail(f *pollenlatch.Failure) *pollenlatch.Failure {
	f.Sent = true
	b.err = f
	b.finish(f)
	return f
}

// Close ends the exchange. Unless the complete body was read, it closes the
// connection, which stops the request at the server.
func (b *responseBody) Close() error {
	b.x.closeConn()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = errBodyClosed
	}
	b.finish(errBodyClosed)
	return nil
}

// finish ends the exchange. The connection is reused only if the body was read to
// its end without an error.
func (b *responseBody) finish(err error) {
	b.once.Do(func() {
		reuse := err == nil && b.reusable && b.x.conn.r.Buffered() == 0
		_ = b.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(b.resp)
		b.x.release(reuse)
	})
}

// closeConn closes the connection, which interrupts a Read in progress.
func (x *exchange) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		_ = x.conn.Close()
	}
}
