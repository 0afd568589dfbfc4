package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func voters(names string) []pollenlatch.Member {
	var list []pollenlatch.Member
	for i, n := range names {
		list = append(list, pollenlatch.Member{Name: string(n), Incarnation: pollenlatch.Incarnation(i + 1)})
	}
	return list
}

// A group of one that waits for an election timeout, or for answers that
// nobody sends, would never serve.
func TestAloneLeadsAtOnce(t *testing.T) {
	g := voters("a")
	r := New(Config{Self: g[0], Genesis: g, Heartbeat: 40 * time.Millisecond, Election: 120 * time.Millisecond})
	p := find[Persist](t, r.Step(Start{Now: 1}))
	require.False(t, r.Leading(1), "led before its vote was synced")
	p = find[Persist](t, r.Step(Persisted{Now: 2, Seq: p.Seq}))
	require.True(t, r.Leading(2))
	effects := r.Step(Persisted{Now: 3, Seq: p.Seq})
	require.Len(t, find[Apply](t, effects).Entries, 1)

	effects = r.Step(Propose{Now: 4, ID: 7, Data: [][]byte{[]byte("x"), []byte("y")}})
	require.Equal(t, uint64(2), find[Accepted](t, effects).Index)
	require.Equal(t, uint64(1), r.Commit(), "committed before the sync")
	effects = r.Step(Persisted{Now: 5, Seq: find[Persist](t, effects).Seq})
	require.Len(t, find[Apply](t, effects).Entries, 2)
}

func find[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	for _, e := range effects {
		if f, ok := e.(E); ok {
			return f
		}
	}
	require.Fail(t, "effect is missing", "%#v", effects)
	panic("unreachable")
}
