package pick

import "sync"

// ServiceBudgets limits, for each service, the retries that send a request to a
// further server. The budget of a service grows with the requests that this
// daemon itself receives from callers. So the retries of all daemons stay a
// share of the requests of the service, without any messages between daemons.
// The zero value allows no retries. It is safe for concurrent use.
type ServiceBudgets struct {
	Ratio float64 // retries for each request
	Burst float64 // maximum number of unused retries, and the number at the start

	mu     sync.Mutex
	tokens map[string]float64
}

// maxServices limits the services whose budget is kept.
const maxServices = 4096

// RecordRequest counts a first attempt of a request of a service.
func (r *ServiceBudgets) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[r.ensure(service)] = min(r.Burst, r.tokens[service]+r.Ratio)
}

// Charge takes a token for a retry that cannot be refused: a nested request of
// a run that is itself a retry. The balance may become negative, and then
// refuses later retries until requests have made up for it.
func (r *ServiceBudgets) Charge(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[r.ensure(service)]--
}

// HasRetry reports whether a retry is allowed now.
func (r *ServiceBudgets) HasRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens[r.ensure(service)] >= 1
}

// TakeRetry takes a token for a retry. It returns false when there is none.
func (r *ServiceBudgets) TakeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens[r.ensure(service)] < 1 {
		return false
	}
	r.tokens[service]--
	return true
}

// ensure creates the budget of a service if there is none, and returns the name
// of the service.
func (r *ServiceBudgets) ensure(service string) string {
	if _, ok := r.tokens[service]; !ok {
		if r.tokens == nil || len(r.tokens) >= maxServices {
			r.tokens = make(map[string]float64)
		}
		r.tokens[service] = r.Burst
	}
	return service
}
