package serve

import (
	"strings"
	"sync"
	"unicode"
	"unicode/utf8"
)

// activeRequests tracks the IDs of the requests that the local server runs. The
// zero value is ready to use. It is safe for concurrent use.
type activeRequests struct {
	mu   sync.Mutex
	byID map[string]activeRequest
}

// activeRequest is a request that the local server runs.
type activeRequest struct {
	exchanges int  // exchanges in progress with its ID
	retried   bool // one of them was sent to a server before
}

func (a *activeRequests) begin(id string, retried bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = make(map[string]activeRequest)
	}
	p := a.byID[id]
	a.byID[id] = activeRequest{p.exchanges + 1, p.retried || retried}
}

func (a *activeRequests) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.byID[id]
	if p.exchanges--; p.exchanges <= 0 {
		delete(a.byID, id)
		return
	}
	a.byID[id] = p
}

// isNested reports whether a request was sent by an active request, and whether
// that one is a retry.
func (a *activeRequests) isNested(id string) (nested, retried bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for parentID, p := range a.byID {
		if extendsID(id, parentID) {
			return true, p.retried
		}
	}
	return false, false
}

// extendsID reports whether an ID consists of a parent's ID, a separator and a
// suffix. Without the separator, request 123 would count as nested in request 12.
func extendsID(id, parentID string) bool {
	rest, ok := strings.CutPrefix(id, parentID)
	if !ok || parentID == "" {
		return false
	}
	sep, size := utf8.DecodeRuneInString(rest)
	return size > 0 && len(rest) > size && !unicode.IsLetter(sep) && !unicode.IsDigit(sep)
}

// IsNested reports whether the local server sent a request while it runs another,
// and whether that other request is a retry, which makes the nested request one
// as well. A server that traces its requests extends the ID of the request that
// it runs; other nested requests are not recognised and are treated like callers'
// requests.
func (s *Server) IsNested(id string) (nested, retried bool) { return s.active.isNested(id) }
