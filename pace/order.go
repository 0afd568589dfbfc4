package pace

import (
	"slices"
	"time"
)

// Order returns the transfers that wait for a link in the order in which they are
// sent, beginning at now: those that can meet their soft deadline, then those that can
// meet their deadline, then the rest, shortest first. It reorders the argument.
func Order[T any](transfers []T, now time.Time, duration func(T) time.Duration, softDeadline, deadline func(T) time.Time) []T {
	order := make([]T, 0, len(transfers))
	rest, end := transfers, now
	for _, due := range []func(T) time.Time{softDeadline, deadline} {
		var feasible []T
		feasible, rest = selectFeasible(rest, end, duration, due)
		for _, t := range feasible {
			end = end.Add(duration(t))
		}
		order = append(order, feasible...)
	}
	slices.SortStableFunc(rest, func(a, b T) int { return int(duration(a) - duration(b)) })
	return append(order, rest...)
}

// selectFeasible returns a largest set of transfers that all complete by their due
// time when sending starts at the given time, in order of the due times, and the other
// transfers. This is the Moore-Hodgson algorithm: it adds transfers in order of their
// due times, and whenever one would be late it removes the longest.
func selectFeasible[T any](transfers []T, at time.Time, duration func(T) time.Duration, due func(T) time.Time) (feasible, rest []T) {
	slices.SortStableFunc(transfers, func(a, b T) int { return due(a).Compare(due(b)) })
	feasible = make([]T, 0, len(transfers))
	for _, t := range transfers {
		feasible = append(feasible, t)
		at = at.Add(duration(t))
		if !at.After(due(t)) {
			continue
		}
		longest := 0
		for n, o := range feasible {
			if duration(o) >= duration(feasible[longest]) {
				longest = n
			}
		}
		at = at.Add(-duration(feasible[longest]))
		rest = append(rest, feasible[longest])
		feasible = slices.Delete(feasible, longest, longest+1)
	}
	return feasible, rest
}
