// Package lease counts leases on monotonic time: Granter at the leader, Holder
// at each daemon. The holder counts from the moment it sent its request, the
// granter from the moment it received it and with a drift allowance on top, so
// a lease never ends later at the holder than at the granter.
package lease

import (
	"slices"
	"time"

	"pollenlatch"
)

// driftDivisor allows 2%, for clocks that run at rates up to 1% apart either way: 1% alone would not cover a holder whose clock is 1% slow.
const driftDivisor = 50

// WithDrift returns the time that a granter waits for a lease of length d.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// Granter keeps the ends of the leases that the leader has extended. The zero
// value holds none.
type Granter struct {
	leases map[pollenlatch.InstanceID]grantedLease
}

type grantedLease struct {
	lease pollenlatch.Lease
	end   pollenlatch.MonoTime
}

// Expired is a lease whose end has passed.
type Expired struct {
	Instance pollenlatch.InstanceID
	Lease    pollenlatch.Lease
	End      pollenlatch.MonoTime
}

// Reset forgets all leases. A new leader then calls Extend for every lease in
// the state, from the time of its election, since its predecessor may have
// extended them until then.
func (g *Granter) Reset() { g.leases = nil }

// Extend lets a lease last for ttl, and the drift allowance, from now. It
// returns false when the lease has lapsed already, or was replaced by a newer.
func (g *Granter) Extend(id pollenlatch.InstanceID, l pollenlatch.Lease, now pollenlatch.MonoTime, ttl time.Duration) bool {
	previous, ok := g.leases[id]
	switch {
	case ok && previous.lease > l:
		return false
	case ok && previous.lease == l && now >= previous.end:
		return false
	}
	if g.leases == nil {
		g.leases = make(map[pollenlatch.InstanceID]grantedLease)
	}
	g.leases[id] = grantedLease{lease: l, end: max(previous.end, now.Add(WithDrift(ttl)))}
	return true
}

// Forget drops the lease, which the log has ended.
func (g *Granter) Forget(id pollenlatch.InstanceID, l pollenlatch.Lease) {
	if g.leases[id].lease == l {
		delete(g.leases, id)
	}
}

// Valid reports whether the granter counts this lease and it has not lapsed.
func (g *Granter) Valid(id pollenlatch.InstanceID, l pollenlatch.Lease, now pollenlatch.MonoTime) bool {
	granted, ok := g.leases[id]
	return ok && granted.lease == l && now < granted.end
}

// Expired returns the leases whose end has passed, by instance.
func (g *Granter) Expired(now pollenlatch.MonoTime) []Expired {
	var expired []Expired
	for id, granted := range g.leases {
		if now >= granted.end {
			expired = append(expired, Expired{Instance: id, Lease: granted.lease, End: granted.end})
		}
	}
	slices.SortFunc(expired, func(a, b Expired) int { return int(a.Instance) - int(b.Instance) })
	return expired
}

// maxSentRenewals bounds the requests whose sending time a holder remembers. Answers
// to older ones are of no use, since the lease counted from them is nearly over.
const maxSentRenewals = 16

// Holder counts the end of this daemon's own lease. The zero value has none.
type Holder struct {
	lease pollenlatch.Lease
	end   pollenlatch.MonoTime
	seq   uint64
	sent  [maxSentRenewals]sentRenewal
}

type sentRenewal struct {
	seq    uint64
	sentAt pollenlatch.MonoTime
}

// BeginRenewal returns the number of a request that is about to be sent.
func (h *Holder) BeginRenewal(now pollenlatch.MonoTime) uint64 {
	h.seq++
	h.sent[h.seq%maxSentRenewals] = sentRenewal{seq: h.seq, sentAt: now}
	return h.seq
}

// Extend counts an answer: the lease lasts for ttl from the sending of request
// seq. It returns false for an answer to an unknown or forgotten request, or
// to an older lease.
func (h *Holder) Extend(seq uint64, l pollenlatch.Lease, ttl time.Duration) bool {
	renewal := h.sent[seq%maxSentRenewals]
	if seq == 0 || renewal.seq != seq || l < h.lease {
		return false
	}
	if l > h.lease {
		h.lease, h.end = l, 0
	}
	h.end = max(h.end, renewal.sentAt.Add(ttl))
	return true
}

// Drop gives the lease up.
func (h *Holder) Drop() { h.end = 0 }

// Lease returns the number of the newest lease and its end.
func (h *Holder) Lease() (pollenlatch.Lease, pollenlatch.MonoTime) { return h.lease, h.end }

// Valid reports whether the lease lasts at now.
func (h *Holder) Valid(now pollenlatch.MonoTime) bool { return h.lease != 0 && now < h.end }
