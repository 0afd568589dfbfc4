package pick

import "sync"

// Repeats bounds, by service, the attempts that reach a second server. The
// allowance grows with the requests that this daemon itself takes in, so that
// the sum over all daemons keeps a share of the requests of a service without
// any message between them. The zero value allows none. It is safe for
// concurrent use.
type Repeats struct {
	Share float64 // repeats for each request
	Most  float64 // repeats saved up; a service begins with as many

	mu     sync.Mutex
	tokens map[string]float64
}

// maxBudgets bounds the services that are remembered.
const maxBudgets = 4096

// Request counts a request of a service.
func (r *Repeats) Request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[r.known(service)] = min(r.Most, r.tokens[service]+r.Share)
}

// Charge counts a repeat that cannot be left out: a call of a run that is itself a
// repeat. Later repeats wait until it is made up for.
func (r *Repeats) Charge(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[r.known(service)]--
}

// Has reports whether a repeat is allowed now.
func (r *Repeats) Has(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens[r.known(service)] >= 1
}

// Take takes the right to one repeat. It reports false when there is none left.
func (r *Repeats) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens[r.known(service)] < 1 {
		return false
	}
	r.tokens[service]--
	return true
}

// known makes sure that a service has an allowance, and returns its name.
func (r *Repeats) known(service string) string {
	if _, ok := r.tokens[service]; !ok {
		if r.tokens == nil || len(r.tokens) >= maxBudgets {
			r.tokens = make(map[string]float64)
		}
		r.tokens[service] = r.Most
	}
	return service
}
