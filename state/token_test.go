package state

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// rangeTokens returns the tokens of the ranges of a service that have one.
func rangeTokens(s *State, service string) map[pollenlatch.Range]string {
	m := make(map[pollenlatch.Range]string)
	s.EachShard(service, func(o pollenlatch.Owner) bool {
		if o.Token != "" {
			m[o.Range] = o.Token
		}
		return true
	})
	return m
}

// A token that appears at another range or in an earlier state would let a server
// skip the warm-up for keys whose previous server did not release them to it.
func TestTokens(t *testing.T) {
	const ranges, steps = 256, 500
	rng := rand.New(rand.NewPCG(1, 1))
	h := newHarness(t, 8, "a", "b")
	current := make(map[pollenlatch.Range]string)
	states, want := []*State{h.state}, []map[pollenlatch.Range]string{{}}
	for step := range steps {
		d := newDraft(h.state, h.state.version+1)
		for range 1 + rng.IntN(4) {
			r := pollenlatch.Range(rng.IntN(ranges))
			o := pollenlatch.Owner{
				Shard: pollenlatch.Shard{Service: "listing", Range: r}, Fence: pollenlatch.Fence(d.version),
				Instance: pollenlatch.InstanceID(1 + rng.IntN(2)),
			}
			delete(current, r)
			if rng.IntN(3) > 0 {
				o.Token = fmt.Sprint("token-", step)
				current[r] = o.Token
			}
			d.setOwner(o)
		}
		h.state = d.finish()
		states, want = append(states, h.state), append(want, maps.Clone(current))
	}
	for n, s := range states {
		require.Equal(t, want[n], rangeTokens(s, "listing"), "state %d", n)
	}
	b, err := h.state.Snapshot()
	require.NoError(t, err)
	loaded, err := Load(b)
	require.NoError(t, err)
	require.Equal(t, current, rangeTokens(loaded, "listing"))
}
