package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

var errBodyClosed = errors.New("body of the answer is closed")

// body is the body of an answer. It ends the exchange when it has been read to
// its end, fails, or is closed. Close may be called while Read runs.
type body struct {
	x      *exchange
	resp   *fasthttp.Response
	stream io.Reader
	keep   bool // the connection may serve another request after the end

	mu   sync.Mutex
	err  error // what further reads return
	once sync.Once
}

// Read returns io.EOF only after the whole body. Other errors are *Failure.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.stream.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { //nolint:errorlint // the codec wraps io.EOF in the errors of broken bodies
		b.err = io.EOF
		b.finish(nil)
		return n, io.EOF
	}
	f := failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, http.StatusBadGateway, "answer was cut short: "+err.Error())
	if b.x.ctx.Err() != nil || isTimeout(err) {
		f = b.x.fail(err)
	}
	f.Sent = true
	b.err = f
	b.finish(f)
	return n, f
}

// Close ends the exchange. Unless the whole body was read, the connection is
// closed, which stops the request at the server.
func (b *body) Close() error {
	b.x.closeEarly()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = errBodyClosed
	}
	b.finish(errBodyClosed)
	return nil
}

// finish gives the connection back when the body ended well.
func (b *body) finish(err error) {
	b.once.Do(func() {
		reuse := err == nil && b.keep && b.x.conn.r.Buffered() == 0
		_ = b.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(b.resp)
		b.x.end(reuse)
	})
}

// closeEarly closes the connection below a read in progress, so that it ends.
func (x *exchange) closeEarly() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		_ = x.conn.Close()
	}
}
