package state

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// tokensOf returns the tokens of all ranges of a service that have one.
func tokensOf(s *State, service string) map[pollenlatch.Range]string {
	m := make(map[pollenlatch.Range]string)
	s.EachShard(service, func(o pollenlatch.Owner) bool {
		if o.Token != "" {
			m[o.Range] = o.Token
		}
		return true
	})
	return m
}

// A token that shows up at another range or in an earlier state would let a server
// take keys as if it had their last holder's hand-over.
func TestTokens(t *testing.T) {
	const ranges, steps = 256, 500
	rng := rand.New(rand.NewPCG(1, 1))
	w := newWorld(t, 8, "a", "b")
	now := make(map[pollenlatch.Range]string)
	states, want := []*State{w.s}, []map[pollenlatch.Range]string{{}}
	for step := range steps {
		d := newDraft(w.s, w.s.version+1)
		for range 1 + rng.IntN(4) {
			r := pollenlatch.Range(rng.IntN(ranges))
			o := pollenlatch.Owner{
				Shard: pollenlatch.Shard{Service: "listing", Range: r}, Fence: pollenlatch.Fence(d.version),
				Instance: pollenlatch.InstanceID(1 + rng.IntN(2)),
			}
			delete(now, r)
			if rng.IntN(3) > 0 {
				o.Token = fmt.Sprint("token-", step)
				now[r] = o.Token
			}
			d.put(o)
		}
		w.s = d.finish()
		states, want = append(states, w.s), append(want, maps.Clone(now))
	}
	for n, s := range states {
		require.Equal(t, want[n], tokensOf(s, "listing"), "state %d", n)
	}
	b, err := w.s.Snapshot()
	require.NoError(t, err)
	loaded, err := Load(b)
	require.NoError(t, err)
	require.Equal(t, now, tokensOf(loaded, "listing"))
}
