// Package lease computes when leases expire, by monotonic time. The leader uses
// Granter and each daemon uses Holder. The holder counts a lease from the sending of
// its request. The granter counts it from the receipt of the request and adds an
// allowance for clock drift. So a lease never expires later at the holder than at the
// granter. Counter counts the requests that a hand-over must wait for.
package lease

import (
	"slices"
	"time"

	"pollenlatch"
)

// driftDivisor sets the allowance for clock drift to 1/50, or 2%. The rates of two
// clocks may differ by up to 1% in either direction, and an allowance of only 1% would
// not cover a holder whose clock is 1% slow.
const driftDivisor = 50

// WithDrift returns d plus the allowance for clock drift: how long to wait for the end
// of a duration d that another clock measures.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// Granter tracks the end of each lease that the leader has extended. The zero value
// has none.
type Granter struct {
	leases map[pollenlatch.InstanceID]grantedLease
}

type grantedLease struct {
	lease pollenlatch.Lease
	end   pollenlatch.MonoTime
}

// Expired is a lease that has expired.
type Expired struct {
	Instance pollenlatch.InstanceID
	Lease    pollenlatch.Lease
	End      pollenlatch.MonoTime
}

// Reset removes all leases. A new leader then calls Extend for every lease in the
// state with the time of its election, since the previous leader may have extended
// them until then.
func (g *Granter) Reset() { g.leases = nil }

// Extend makes a lease expire ttl after now, plus the allowance for clock drift. It
// returns false when the lease has expired already, or the instance has a newer one.
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

// Forget removes a lease that a log entry has ended.
func (g *Granter) Forget(id pollenlatch.InstanceID, l pollenlatch.Lease) {
	if g.leases[id].lease == l {
		delete(g.leases, id)
	}
}

// Valid reports whether the instance has this lease and it has not expired.
func (g *Granter) Valid(id pollenlatch.InstanceID, l pollenlatch.Lease, now pollenlatch.MonoTime) bool {
	granted, ok := g.leases[id]
	return ok && granted.lease == l && now < granted.end
}

// Expired returns the leases that have expired, sorted by instance.
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

// maxSentRenewals limits the requests whose sending time a holder keeps. Replies to
// older ones are useless, since a lease counted from their sending has nearly expired.
const maxSentRenewals = 16

// Holder tracks the end of this daemon's own lease. The zero value has none.
type Holder struct {
	lease pollenlatch.Lease
	end   pollenlatch.MonoTime
	seq   uint64
	sent  [maxSentRenewals]sentRenewal
}

// sentRenewal is a request for a lease or its extension.
type sentRenewal struct {
	seq    uint64
	sentAt pollenlatch.MonoTime
}

// BeginRenewal returns the sequence number for a request that is sent now.
func (h *Holder) BeginRenewal(now pollenlatch.MonoTime) uint64 {
	h.seq++
	h.sent[h.seq%maxSentRenewals] = sentRenewal{seq: h.seq, sentAt: now}
	return h.seq
}

// SentAt returns the sending time of a request, or 0 when it is no longer known.
func (h *Holder) SentAt(seq uint64) pollenlatch.MonoTime {
	renewal := h.sent[seq%maxSentRenewals]
	if renewal.seq != seq {
		return 0
	}
	return renewal.sentAt
}

// Extend handles a reply: the lease expires ttl after the sending of request seq. It
// returns false for a reply to an unknown request, or with an older lease.
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

// Drop ends the lease.
func (h *Holder) Drop() { h.end = 0 }

// Lease returns the newest lease and its end.
func (h *Holder) Lease() (pollenlatch.Lease, pollenlatch.MonoTime) { return h.lease, h.end }

// Valid reports whether the lease has not expired.
func (h *Holder) Valid(now pollenlatch.MonoTime) bool { return h.lease != 0 && now < h.end }
