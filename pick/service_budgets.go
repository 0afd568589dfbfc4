package pick

import "sync"

// ServiceBudgets bounds, by service, the attempts that reach a second server. The
// allowance grows with the requests that this daemon itself takes in, so that
// the sum over all daemons keeps a share of the requests of a service without
// any message between them. The zero value allows none. It is safe for
// concurrent use.
type ServiceBudgets struct {
	Ratio float64 // repeats for each request
	Burst float64 // repeats saved up; a service begins with as many

	mu     sync.Mutex
	tokens map[string]float64
}

// maxBudgets bounds the services that are remembered.
const maxBudgets = 4096

// RecordRequest counts a request of a service.
func (r *ServiceBudgets) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[r.known(service)] = min(r.Burst, r.tokens[service]+r.Ratio)
}

// Charge counts a repeat that cannot be left out: a call of a run that is itself a
// repeat. Later repeats wait until it is made up for.
func (r *ServiceBudgets) Charge(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[r.known(service)]--
}

// HasRetry reports whether a repeat is allowed now.
func (r *ServiceBudgets) HasRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens[r.known(service)] >= 1
}

// TakeRetry takes the right to one repeat. It reports false when there is none left.
func (r *ServiceBudgets) TakeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens[r.known(service)] < 1 {
		return false
	}
	r.tokens[service]--
	return true
}

// known makes sure that a service has an allowance, and returns its name.
func (r *ServiceBudgets) known(service string) string {
	if _, ok := r.tokens[service]; !ok {
		if r.tokens == nil || len(r.tokens) >= maxBudgets {
			r.tokens = make(map[string]float64)
		}
		r.tokens[service] = r.Burst
	}
	return service
}
