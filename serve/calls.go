package serve

import (
	"strings"
	"sync"
	"unicode"
	"unicode/utf8"
)

// exchanges holds the ids of the requests that are at the server beside this
// daemon. The zero value is ready to use. It is safe for concurrent use.
type exchanges struct {
	mu  sync.Mutex
	ids map[string]parent
}

// parent is a request at the server.
type parent struct {
	exchanges int  // with its id
	repeat    bool // it was sent to a server before
}

// begin adds an exchange.
func (e *exchanges) begin(id string, repeat bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ids == nil {
		e.ids = make(map[string]parent)
	}
	p := e.ids[id]
	e.ids[id] = parent{exchanges: p.exchanges + 1, repeat: p.repeat || repeat}
}

// end removes an exchange.
func (e *exchanges) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.ids[id]
	if p.exchanges--; p.exchanges <= 0 {
		delete(e.ids, id)
		return
	}
	e.ids[id] = p
}

// caused reports whether a request comes from one of the exchanges, and whether
// that is a repeat.
func (e *exchanges) caused(id string) (call, repeat bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, p := range e.ids {
		if extends(id, name) {
			return true, p.repeat
		}
	}
	return false, false
}

// extends reports whether an id consists of a parent's id, a separator and more.
// Without the separator consecutive numbers would pass for calls of each other.
func extends(id, parent string) bool {
	rest, ok := strings.CutPrefix(id, parent)
	if !ok || parent == "" {
		return false
	}
	sep, size := utf8.DecodeRuneInString(rest)
	return size > 0 && len(rest) > size && !unicode.IsLetter(sep) && !unicode.IsDigit(sep)
}

// IsNested reports whether a request with the id is a call that the server beside
// this daemon makes while it runs another request, and whether that request was
// sent to a server before: its calls are then made once more as well. A server that traces its calls
// extends the id of the request that it runs; other calls are not recognised and
// count as requests of callers.
func (s *Server) IsNested(id string) (call, repeat bool) { return s.exchanges.caused(id) }
