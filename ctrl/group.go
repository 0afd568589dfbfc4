package ctrl

import (
	"slices"
	"time"

	"pollenlatch"
)

// groupInterval is how often the leader looks whether the group should change.
const groupInterval = 100 * time.Millisecond

// volunteer is an instance that can vote.
type volunteer struct {
	pollenlatch.Member
	alive bool // holds a lease
}

// regroup returns the voters that the group should have next, or nil when it
// is as it should be. Each change concerns one voter. A voter that came back
// with another data folder replaces itself, since its word of before counts no
// more. One without a lease is removed only together with adding another,
// because a smaller group tolerates fewer losses.
func regroup(members []pollenlatch.Member, all []volunteer, size int) (want []pollenlatch.Member, reason string) {
	byName := make(map[string]volunteer, len(all))
	for _, v := range all {
		byName[v.Name] = v
	}
	for n, m := range members {
		v, ok := byName[m.Name]
		if !ok || !v.alive || v.Member == m {
			continue
		}
		want = slices.Clone(members)
		want[n] = v.Member
		if m.Incarnation == v.Incarnation || m.Incarnation == 0 {
			return want, "voter is known better"
		}
		return want, "voter has another data folder"
	}
	lost := slices.IndexFunc(members, func(m pollenlatch.Member) bool { return !byName[m.Name].alive })
	if len(members) > size && lost >= 0 {
		return slices.Delete(slices.Clone(members), lost, lost+1), "voter is lost and was replaced"
	}
	next := slices.IndexFunc(all, func(v volunteer) bool {
		return v.alive && !slices.ContainsFunc(members, func(m pollenlatch.Member) bool { return m.Name == v.Name })
	})
	if next < 0 {
		return nil, ""
	}
	added := append(slices.Clone(members), all[next].Member)
	switch {
	case len(members) < size:
		return added, "group lacks a voter"
	case lost >= 0:
		return slices.Delete(added, lost, lost+1), "voter is lost and another waits"
	default:
		return nil, ""
	}
}

// volunteers returns the instances that can vote, in the order of their numbers.
func (v *voter) volunteers() []volunteer {
	var list []volunteer
	for _, i := range v.state.Instances() {
		if i.Storage != 0 {
			list = append(list, volunteer{
				Member: pollenlatch.Member{Name: i.Name, Incarnation: i.Storage, Addr: i.Addr},
				alive:  i.Alive(),
			})
		}
	}
	return list
}

// manageGroup changes the group when voters were lost or others can be added.
func (v *voter) manageGroup() {
	if v.cfg.GroupSize == 0 || v.now.Sub(v.groupAt) < groupInterval {
		return
	}
	v.groupAt = v.now
	want, reason := regroup(v.log.Members(), v.volunteers(), v.cfg.GroupSize)
	if want == nil || (v.groupID != 0 && slices.Equal(want, v.groupWant)) {
		return
	}
	v.groupWant = want
	v.changeTo(want)
	v.groupID = v.nextID
	v.logf("group changes", "reason", reason, "from", v.log.Members(), "to", want)
}

// groupDone notes that a change of the group has ended. It may have been
// refused; what remains to be done shows at the next look.
func (v *voter) groupDone(id uint64) {
	if id == v.groupID {
		v.groupID, v.groupWant = 0, nil
	}
}
