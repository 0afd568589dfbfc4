package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func member(name string, i pollenlatch.Incarnation) pollenlatch.Member {
	return pollenlatch.Member{Name: name, Incarnation: i, Addr: name + ":1"}
}

// A group that shrinks without need tolerates fewer losses than configured. A group
// that counts a voter with a lost data folder may lose acknowledged entries.
func TestNextGroup(t *testing.T) {
	alive := func(name string, i pollenlatch.Incarnation) eligibleVoter {
		return eligibleVoter{member(name, i), true}
	}
	lost := func(name string, i pollenlatch.Incarnation) eligibleVoter {
		return eligibleVoter{member(name, i), false}
	}
	three := []pollenlatch.Member{member("a", 1), member("b", 2), member("c", 3)}
	for _, c := range []struct {
		name    string
		members []pollenlatch.Member
		all     []eligibleVoter
		size    int
		want    []pollenlatch.Member
	}{
		{"no change needed", three, []eligibleVoter{alive("a", 1), alive("b", 2), alive("c", 3)}, 3, nil},
		{
			"initial voters get their incarnation",
			[]pollenlatch.Member{member("a", 0), member("b", 0), member("c", 0)},
			[]eligibleVoter{alive("a", 1), alive("b", 2)},
			3,
			[]pollenlatch.Member{member("a", 1), member("b", 0), member("c", 0)},
		},
		{
			"a voter with a new data folder is replaced by its new incarnation",
			three,
			[]eligibleVoter{alive("a", 1), alive("b", 9), alive("c", 3)},
			3,
			[]pollenlatch.Member{member("a", 1), member("b", 9), member("c", 3)},
		},
		{
			"a missing voter is added",
			three,
			[]eligibleVoter{alive("a", 1), alive("b", 2), alive("c", 3), alive("d", 4), alive("e", 5)},
			5,
			append(append([]pollenlatch.Member(nil), three...), member("d", 4)),
		},
		{"a lost voter stays without a replacement", three, []eligibleVoter{alive("a", 1), alive("b", 2), lost("c", 3)}, 3, nil},
		{
			"a lost voter is replaced",
			three,
			[]eligibleVoter{alive("a", 1), alive("b", 2), lost("c", 3), alive("d", 4)},
			3,
			[]pollenlatch.Member{member("a", 1), member("b", 2), member("d", 4)},
		},
		{
			"a lost voter of an oversized group is removed",
			append(append([]pollenlatch.Member(nil), three...), member("d", 4)),
			[]eligibleVoter{alive("a", 1), alive("b", 2), lost("c", 3), alive("d", 4)},
			3,
			[]pollenlatch.Member{member("a", 1), member("b", 2), member("d", 4)},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _ := nextGroup(c.members, c.all, c.size)
			require.Equal(t, c.want, got)
		})
	}
}
