package pick

import (
	"sync"

	"pollenlatch"
)

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
	nested pollenlatch.Set[string] // services of whose budget a share is kept for nested requests
}

// nestedShare is the share of Burst that is kept for the retries of nested requests.
const nestedShare = 0.25

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

// KeepForNested keeps a share of the budget of a service for the retries of nested
// requests, whose parents hold slots meanwhile, so that retries of new work do not use
// it up. The budget as a whole stays the same.
func (r *ServiceBudgets) KeepForNested(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.nested.Has(service) && len(r.nested) < maxServices {
		r.nested = r.nested.With(service)
	}
}

// HasRetry reports whether a retry is allowed now.
func (r *ServiceBudgets) HasRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasRetry(service, false)
}

// HasNestedRetry reports whether a retry of a nested request is allowed now.
func (r *ServiceBudgets) HasNestedRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasRetry(service, true)
}

func (r *ServiceBudgets) hasRetry(service string, nested bool) bool {
	needed := 1.0
	if !nested && r.nested.Has(service) {
		needed = max(needed, min(needed+nestedShare*r.Burst, r.Burst))
	}
	return r.tokens[r.ensure(service)] >= needed
}

// TakeRetry takes a token for a retry. It returns false when there is none.
func (r *ServiceBudgets) TakeRetry(service string) bool { return r.take(service, false) }

// TakeNestedRetry takes a token for a retry of a nested request. It returns false when
// there is none.
func (r *ServiceBudgets) TakeNestedRetry(service string) bool { return r.take(service, true) }

func (r *ServiceBudgets) take(service string, nested bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasRetry(service, nested) {
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
