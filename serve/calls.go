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
	ids map[string]int // exchanges with the id
}

// begin adds an exchange.
func (e *exchanges) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ids == nil {
		e.ids = make(map[string]int)
	}
	e.ids[id]++
}

// end removes an exchange.
func (e *exchanges) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ids[id]--; e.ids[id] <= 0 {
		delete(e.ids, id)
	}
}

// caused reports whether a request comes from one of the exchanges.
func (e *exchanges) caused(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for parent := range e.ids {
		if extends(id, parent) {
			return true
		}
	}
	return false
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

// Calls reports whether a request with the id is a call that the server beside
// this daemon makes while it runs another request. A server that traces its calls
// extends the id of the request that it runs; other calls are not recognised and
// count as requests of callers.
func (s *Server) Calls(id string) bool { return s.exchanges.caused(id) }
