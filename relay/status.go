package relay

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// maxInterim is the maximum number of interim responses (1xx) before a response, as in
// fasthttp.
const maxInterim = 100

var (
	errInvalidStatus = errors.New("status of the response is not from 100 to 599")
	errManyInterim   = errors.New("too many interim responses")
)

// readFinal reads a response after the interim ones, with a body of at most maxBytes; 0
// is unlimited. It fails with errInvalidStatus when a status is not from 100 to 599.
// fasthttp accepts any three digits, and its StatusCode returns 200 for 000.
func readFinal(r *bufio.Reader, resp *fasthttp.Response, maxBytes int) error {
	for range maxInterim {
		switch status := peekStatus(r); {
		case status != nil && (status[0] < '1' || status[0] > '5'):
			return errInvalidStatus
		case status == nil || status[0] != '1' || string(status) == "101":
			return resp.ReadLimitBody(r, maxBytes)
		}
		if err := resp.Header.Read(r); err != nil {
			return err
		}
	}
	return errManyInterim
}

// peekStatus returns the status of the next response without reading it, or nil when it
// is not three digits or cannot be read; fasthttp fails on such a response.
func peekStatus(r *bufio.Reader) []byte {
	line := peekLine(r)
	_, line, _ = bytes.Cut(line, []byte(" "))
	line = bytes.TrimLeft(line, " ")
	status, _, _ := bytes.Cut(line, []byte(" "))
	if len(status) != len("200") || bytes.ContainsFunc(status, func(c rune) bool { return c < '0' || c > '9' }) {
		return nil
	}
	return status
}

// peekLine returns the next line that is not empty, without reading it, or nil when there
// is none.
func peekLine(r *bufio.Reader) []byte {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return nil
		}
		rest, _ := r.Peek(r.Buffered())
		for {
			line, after, complete := bytes.Cut(rest, []byte("\n"))
			if !complete {
				break
			}
			if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 {
				return line
			}
			rest = after
		}
	}
}

// invalidResponse reports whether err says that the server sent something else than a
// response to the request.
func invalidResponse(err error) bool {
	return errors.Is(err, errOtherRequest) || errors.Is(err, errInvalidResponse) || errors.Is(err, errInvalidStatus)
}
