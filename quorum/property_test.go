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

// op is a fault or request that runOps applies, followed by some simulation steps.
type op struct {
	Operation, Target, Arg, Steps int
}

var operations = []struct {
	name           string
	weight         int
	electionWeight int // weight in sequences that focus on elections
	apply          func(s *sim, target, arg int)
}{
	{"propose", 8, 0, func(s *sim, target, _ int) { s.propose(target, 3000) }},
	{"propose at all", 8, 0, func(s *sim, _, _ int) {
		for i := range s.nodes {
			s.propose(i, 3000)
		}
	}},
	{"propose more than one message holds", 3, 0, func(s *sim, _, _ int) {
		for i := range s.nodes {
			s.propose(i, 2*maxAppendBytes)
		}
	}},
	{"crash", 4, 0, func(s *sim, target, arg int) {
		if s.nodes[target].running {
			s.crash(target, arg == 0)
		}
	}},
	{"crash the leader", 3, 1, func(s *sim, _, arg int) {
		for i, n := range s.nodes {
			if n.running && n.r.role == leader {
				s.crash(i, arg == 0)
			}
		}
	}},
	{"crash the leader while one voter replicates from it", 4, 12, func(s *sim, _, arg int) {
		for i, n := range s.nodes {
			if !n.running || n.r.role != leader {
				continue
			}
			for j := range s.nodes {
				s.cut[[2]int{i, j}] = j != arg
			}
			s.propose(i, 2*maxAppendBytes)
			s.run(6)
			s.crash(i, false)
			for j := range s.nodes {
				s.cut[[2]int{i, j}] = false
			}
		}
	}},
	{"crash the next leader", 1, 12, func(s *sim, _, arg int) {
		term := uint64(0)
		for t := range s.leaders {
			term = max(term, t)
		}
		for range 100 {
			s.run(1)
			for i, n := range s.nodes {
				if !n.running || n.r.role != leader || n.r.hardState.Term <= term {
					continue
				}
				for j := range s.nodes { // depending on arg, no other node receives its first entry
					s.cut[[2]int{i, j}] = arg%2 == 0
				}
				s.run(2 + 2*arg)
				for j := range s.nodes { // messages in flight are lost too
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
	{"restart", 8, 8, func(s *sim, target, _ int) {
		if !s.nodes[target].running {
			s.boot(target)
		}
	}},
	{"restart all", 1, 6, func(s *sim, _, _ int) {
		for i, n := range s.nodes {
			if !n.running {
				s.boot(i)
			}
		}
	}},
	{"crash and restart at once", 3, 2, func(s *sim, target, _ int) {
		s.crash(target, false)
		s.boot(target)
	}},
	{"crash and restart all", 1, 3, func(s *sim, _, _ int) {
		for i := range s.nodes {
			s.crash(i, false)
		}
		for i := range s.nodes {
			s.boot(i)
		}
	}},
	{"cut one way", 4, 0, func(s *sim, target, arg int) { s.cut[[2]int{target, arg}] = true }},
	{"isolate", 2, 0, func(s *sim, target, _ int) {
		for i := range s.nodes {
			s.cut[[2]int{target, i}], s.cut[[2]int{i, target}] = true, true
		}
	}},
	{"heal the network", 5, 1, func(s *sim, _, _ int) { clear(s.cut) }},
	{"pause", 3, 0, func(s *sim, target, arg int) {
		s.nodes[target].pausedUntil = s.now + time.Duration(1+arg)*100*time.Millisecond
	}},
	{"stall the disk", 3, 1, func(s *sim, target, arg int) {
		s.nodes[target].diskStalledUntil = s.now + time.Duration(1+arg)*100*time.Millisecond
	}},
	{"compact", 5, 0, func(s *sim, target, _ int) { s.compact(target) }},
	{"wipe", 1, 0, func(s *sim, target, _ int) { s.wipe(target) }},
}

func opsGenerator(size int, elections bool) *rapid.Generator[[]op] {
	var weighted []int
	for i, o := range operations {
		weight := o.weight
		if elections {
			weight = o.electionWeight
		}
		for range weight {
			weighted = append(weighted, i)
		}
	}
	one := rapid.Custom(func(t *rapid.T) op {
		return op{
			Operation: rapid.SampledFrom(weighted).Draw(t, "operation"),
			Target:    rapid.IntRange(0, size-1).Draw(t, "target"),
			Arg:       rapid.IntRange(0, size-1).Draw(t, "arg"),
			Steps:     rapid.IntRange(0, 40).Draw(t, "steps"),
		}
	})
	return rapid.SliceOfN(one, 60, 120)
}

// runOps applies the operations and returns the violated invariant, or "".
func runOps(size int, seed uint64, ops []op, faults simFaults) (found violation) {
	defer func() {
		if p := recover(); p != nil {
			v, ok := p.(violation)
			if !ok {
				panic(p)
			}
			found = v
		}
	}()
	s := newSim(size, seed, faults)
	s.run(100)
	for _, o := range ops {
		operations[o.Operation].apply(s, o.Target, o.Arg)
		s.run(o.Steps)
	}
	s.converge()
	return ""
}

// Message losses, pauses, network partitions, disk stalls and crashes in any order
// must not make two voters apply different entries, or lose an acknowledged entry.
func TestVotersAgree(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for _, elections := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d voters, elections %v", size, elections), func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) {
					seed := rapid.Uint64().Draw(t, "seed")
					ops := opsGenerator(size, elections).Draw(t, "operations")
					require.Empty(t, runOps(size, seed, ops, simFaults{}))
				})
			})
		}
	}
}
