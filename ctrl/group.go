package ctrl

import (
	"slices"
	"time"

	"pollenlatch"
)

// groupCheckInterval is the interval at which the leader checks whether the voter
// group should change.
const groupCheckInterval = 100 * time.Millisecond

// eligibleVoter is an instance that can vote.
type eligibleVoter struct {
	pollenlatch.Member
	alive bool // holds a lease
}

// nextGroup returns the voters that the group should change to, or nil when it needs
// no change. Each change concerns one voter. A voter that returns with another data
// folder is replaced by its new incarnation, since it may have lost entries that it
// acknowledged. A voter without a lease is only removed when the group is too large
// or another takes its place, because a smaller group tolerates fewer losses.
func nextGroup(members []pollenlatch.Member, eligible []eligibleVoter, size int) (group []pollenlatch.Member, reason string) {
	byName := make(map[string]eligibleVoter, len(eligible))
	for _, v := range eligible {
		byName[v.Name] = v
	}
	for n, m := range members {
		v, ok := byName[m.Name]
		if !ok || !v.alive || v.Member == m {
			continue
		}
		group = slices.Clone(members)
		group[n] = v.Member
		if m.Incarnation == v.Incarnation || m.Incarnation == 0 {
			return group, "address or incarnation of a voter was corrected"
		}
		return group, "voter has a new data folder"
	}
	lost := slices.IndexFunc(members, func(m pollenlatch.Member) bool { return !byName[m.Name].alive })
	if len(members) > size && lost >= 0 {
		return slices.Delete(slices.Clone(members), lost, lost+1), "voter is lost and the group is larger than configured"
	}
	next := slices.IndexFunc(eligible, func(v eligibleVoter) bool {
		return v.alive && !slices.ContainsFunc(members, func(m pollenlatch.Member) bool { return m.Name == v.Name })
	})
	if next < 0 {
		return nil, ""
	}
	added := append(slices.Clone(members), eligible[next].Member)
	switch {
	case len(members) < size:
		return added, "group is smaller than configured"
	case lost >= 0:
		return slices.Delete(added, lost, lost+1), "voter is lost and another instance replaces it"
	default:
		return nil, ""
	}
}

// eligibleVoters returns the instances that can vote, sorted by ID.
func (v *voter) eligibleVoters() []eligibleVoter {
	var list []eligibleVoter
	for _, i := range v.state.Instances() {
		if i.Storage != 0 {
			list = append(list, eligibleVoter{
				Member: pollenlatch.Member{Name: i.Name, Incarnation: i.Storage, Addr: i.Addr},
				alive:  i.Alive(),
			})
		}
	}
	return list
}

// manageGroup proposes a change of the voter group when nextGroup finds one.
func (v *voter) manageGroup() {
	if v.cfg.GroupSize == 0 || v.now.Sub(v.groupCheckedAt) < groupCheckInterval {
		return
	}
	v.groupCheckedAt = v.now
	want, reason := nextGroup(v.replica.Members(), v.eligibleVoters(), v.cfg.GroupSize)
	if want == nil || (v.groupChangeID != 0 && slices.Equal(want, v.proposedGroup)) {
		return
	}
	v.proposedGroup = want
	v.proposeGroup(want)
	v.groupChangeID = v.nextProposalID
	v.logf("group changes", "reason", reason, "from", v.replica.Members(), "to", want)
}

// groupChangeEnded records that a change of the group was accepted or rejected. The
// next check finds what remains to be changed.
func (v *voter) groupChangeEnded(id uint64) {
	if id == v.groupChangeID {
		v.groupChangeID, v.proposedGroup = 0, nil
	}
}
