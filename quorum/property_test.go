package quorum

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// op is one fault or request, followed by some steps of time.
type op struct {
	Kind, A, B, Steps int
}

var ops = []struct {
	name      string
	weight    int
	elections int // weight in sequences that are about changes of leader
	do        func(s *sim, a, b int)
}{
	{"propose", 8, 0, func(s *sim, a, _ int) { s.propose(a, 3000) }},
	{"propose at all", 8, 0, func(s *sim, _, _ int) {
		for i := range s.nodes {
			s.propose(i, 3000)
		}
	}},
	{"propose more than one message holds", 3, 0, func(s *sim, _, _ int) {
		for i := range s.nodes {
			s.propose(i, 2*appendBytes)
		}
	}},
	{"crash", 4, 0, func(s *sim, a, b int) {
		if s.nodes[a].up {
			s.crash(a, b == 0)
		}
	}},
	{"crash the leader", 3, 1, func(s *sim, _, b int) {
		for i, n := range s.nodes {
			if n.up && n.r.role == leader {
				s.crash(i, b == 0)
			}
		}
	}},
	{"crash the leader while one voter copies from it", 4, 12, func(s *sim, _, b int) {
		for i, n := range s.nodes {
			if !n.up || n.r.role != leader {
				continue
			}
			for j := range s.nodes {
				s.cut[[2]int{i, j}] = j != b
			}
			s.propose(i, 2*appendBytes)
			s.run(6)
			s.crash(i, false)
			for j := range s.nodes {
				s.cut[[2]int{i, j}] = false
			}
		}
	}},
	{"crash the next leader", 1, 12, func(s *sim, _, b int) {
		term := uint64(0)
		for t := range s.leaders {
			term = max(term, t)
		}
		for range 100 {
			s.run(1)
			for i, n := range s.nodes {
				if !n.up || n.r.role != leader || n.r.hard.Term <= term {
					continue
				}
				for j := range s.nodes { // its first entry reaches nobody, or some
					s.cut[[2]int{i, j}] = b%2 == 0
				}
				s.run(2 + 2*b)
				for j := range s.nodes { // what is on the way is lost too
					s.cut[[2]int{i, j}] = true
				}
				s.crash(i, true)
				s.run(4)
				for j := range s.nodes {
					s.cut[[2]int{i, j}] = false
				}
				return
			}
		}
	}},
	{"restart", 8, 8, func(s *sim, a, _ int) {
		if !s.nodes[a].up {
			s.boot(a)
		}
	}},
	{"restart all", 1, 6, func(s *sim, _, _ int) {
		for i, n := range s.nodes {
			if !n.up {
				s.boot(i)
			}
		}
	}},
	{"restart at once", 3, 2, func(s *sim, a, _ int) {
		s.crash(a, false)
		s.boot(a)
	}},
	{"power loss", 1, 3, func(s *sim, _, _ int) {
		for i := range s.nodes {
			s.crash(i, false)
		}
		for i := range s.nodes {
			s.boot(i)
		}
	}},
	{"cut one way", 4, 0, func(s *sim, a, b int) { s.cut[[2]int{a, b}] = true }},
	{"isolate", 2, 0, func(s *sim, a, _ int) {
		for i := range s.nodes {
			s.cut[[2]int{a, i}], s.cut[[2]int{i, a}] = true, true
		}
	}},
	{"heal", 5, 1, func(s *sim, _, _ int) { clear(s.cut) }},
	{"pause", 3, 0, func(s *sim, a, b int) { s.nodes[a].pause = s.now + time.Duration(1+b)*100*time.Millisecond }},
	{"slow disk", 3, 1, func(s *sim, a, b int) { s.nodes[a].slow = s.now + time.Duration(1+b)*100*time.Millisecond }},
	{"compact", 5, 0, func(s *sim, a, _ int) { s.compact(a) }},
	{"wipe", 1, 0, func(s *sim, a, _ int) { s.wipe(a) }},
}

func opGen(size int, elections bool) *rapid.Generator[[]op] {
	var kinds []int
	for i, o := range ops {
		weight := o.weight
		if elections {
			weight = o.elections
		}
		for range weight {
			kinds = append(kinds, i)
		}
	}
	one := rapid.Custom(func(t *rapid.T) op {
		return op{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:     rapid.IntRange(0, size-1).Draw(t, "a"),
			B:     rapid.IntRange(0, size-1).Draw(t, "b"),
			Steps: rapid.IntRange(0, 40).Draw(t, "steps"),
		}
	})
	return rapid.SliceOfN(one, 60, 120)
}

// play runs the operations and returns the violated invariant, or "".
func play(size int, seed uint64, list []op, broken simRules) (found violation) {
	defer func() {
		if p := recover(); p != nil {
			v, ok := p.(violation)
			if !ok {
				panic(p)
			}
			found = v
		}
	}()
	s := newSim(size, seed, broken)
	s.run(100)
	for _, o := range list {
		ops[o.Kind].do(s, o.A, o.B)
		s.run(o.Steps)
	}
	s.converge()
	return ""
}

// Any order of losses, pauses, cuts and crashes may make two voters disagree,
// or lose an entry that was acknowledged.
func TestAgreement(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for _, elections := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d voters, elections %v", size, elections), func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) {
					seed := rapid.Uint64().Draw(t, "seed")
					list := opGen(size, elections).Draw(t, "ops")
					require.Empty(t, play(size, seed, list, simRules{}))
				})
			})
		}
	}
}
