package store

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/quorum"
)

// benchVoter is a voter with a data folder on disk.
type benchVoter struct {
	r         *quorum.Replica
	store     *Store
	persisted chan quorum.Persisted
	saveCount int
}

// logBytes returns the size of the log, which the benchmark never compacts.
func (v *benchVoter) logBytes(b *testing.B) (n int) {
	b.Helper()
	for _, seg := range v.store.segments {
		content, err := v.store.folder.Read(seg.name)
		require.NoError(b, err)
		n += len(content)
	}
	return n
}

// benchGroup runs three voters. It delivers messages without delay and saves
// concurrently, as on three instances, although all folders are on one disk.
type benchGroup struct {
	b         *testing.B
	voters    map[string]*benchVoter
	sentBytes int64 // total size of the messages
	committed int   // entries applied by the leader
	start     time.Time
}

func (g *benchGroup) step(name string, ev quorum.Event) {
	v := g.voters[name]
	for _, e := range v.r.Step(ev) {
		switch e := e.(type) {
		case quorum.Send:
			m, err := pollenlatch.Encode(&e.Message)
			require.NoError(g.b, err)
			g.sentBytes += int64(len(m))
			var got quorum.Message
			require.NoError(g.b, pollenlatch.Decode(m, &got))
			g.step(e.To.Name, quorum.Receive{Now: g.now(), From: name, Message: got})
		case quorum.Persist:
			v.saveCount++
			go func() {
				err := v.store.Save(e)
				v.persisted <- quorum.Persisted{Now: g.now(), Seq: e.Seq, Err: err}
			}()
		case quorum.Apply:
			if v.r.Leading(g.now()) {
				g.committed += len(e.Entries)
			}
		default:
		}
	}
}

func (g *benchGroup) now() pollenlatch.MonoTime { return pollenlatch.MonoTime(time.Since(g.start)) }

// advance handles a completed save or waits 10 ms, and then ticks all voters.
func (g *benchGroup) advance() {
	a, b, c := g.voters["a"], g.voters["b"], g.voters["c"]
	select {
	case p := <-a.persisted:
		g.step("a", p)
	case p := <-b.persisted:
		g.step("b", p)
	case p := <-c.persisted:
		g.step("c", p)
	case <-time.After(10 * time.Millisecond):
	}
	for name := range g.voters {
		g.step(name, quorum.Tick{Now: g.now()})
	}
}

func (g *benchGroup) leader() *benchVoter {
	for _, v := range g.voters {
		if v.r.Leading(g.now()) {
			return v
		}
	}
	return nil
}

func ticketCommand(size int) pollenlatch.Command {
	return pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Text: strings.Repeat("x", size), Sender: "operator"}}
}

func assignCommand(items int) pollenlatch.Command {
	a := &pollenlatch.Assign{}
	for i := range items {
		a.Items = append(a.Items, pollenlatch.AssignItem{
			Shard: pollenlatch.Shard{Service: "listing", Range: pollenlatch.Range(400_000 + i)},
			To:    pollenlatch.InstanceID(1000 + i), ExpectedFence: 1_000_000, ReleasedLease: 900_000,
		})
	}
	return pollenlatch.Command{Assign: a}
}

// BenchmarkCommit measures how fast three voters commit entries, proposed singly or
// 64 at a time.
func BenchmarkCommit(b *testing.B) {
	for _, c := range []struct {
		name    string
		command pollenlatch.Command
	}{{"ticket of 4 KB", ticketCommand(4 << 10)}, {"1000 assignments", assignCommand(1000)}} {
		for _, batchSize := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/%d at a time", c.name, batchSize), func(b *testing.B) { benchCommit(b, c.command, batchSize) })
		}
	}
}

func benchCommit(b *testing.B, command pollenlatch.Command, batchSize int) {
	b.Helper()
	data, err := pollenlatch.Encode(&command)
	require.NoError(b, err)
	g := &benchGroup{b: b, voters: map[string]*benchVoter{}, start: time.Now()}
	var members []pollenlatch.Member
	for _, name := range []string{"a", "b", "c"} {
		dir := Dir(filepath.Join(b.TempDir(), name))
		id, err := Init(dir, name)
		require.NoError(b, err)
		s, err := Open(dir)
		require.NoError(b, err)
		defer func() { require.NoError(b, s.Close()) }()
		members = append(members, pollenlatch.Member{Name: name, Incarnation: id.Incarnation})
		g.voters[name] = &benchVoter{store: s, persisted: make(chan quorum.Persisted, 1)}
	}
	for i, m := range members {
		v := g.voters[m.Name]
		v.r = quorum.New(quorum.Config{
			Self: m, InitialVoters: members, HeartbeatInterval: 40 * time.Millisecond, MinElectionTimeout: 120 * time.Millisecond, Seed: uint64(i),
		})
	}
	for name, v := range g.voters {
		g.step(name, v.store.Start(g.now()))
	}
	for g.leader() == nil || g.committed == 0 {
		g.advance()
	}
	g.sentBytes, g.committed = 0, 0
	l := g.leader()
	savesBefore, bytesBefore := l.saveCount, l.logBytes(b)
	b.ResetTimer()
	for g.committed < b.N {
		n := min(batchSize, b.N-g.committed)
		p := quorum.Propose{Now: g.now()}
		for range n {
			p.Data = append(p.Data, data)
		}
		target := g.committed + n
		for id := range g.voters {
			if g.voters[id] == l {
				g.step(id, p)
			}
		}
		for g.committed < target {
			g.advance()
			require.True(b, l.r.Leading(g.now()), "leadership was lost")
		}
	}
	b.StopTimer()
	for _, v := range g.voters { // wait for saves in progress
		for v.r.LastIndex() < l.r.LastIndex() {
			g.advance()
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(len(data)), "entry-bytes")
	b.ReportMetric(float64(g.sentBytes)/float64(b.N), "sent-bytes/commit")
	b.ReportMetric(float64(l.logBytes(b)-bytesBefore)/float64(b.N), "log-bytes/commit")
	b.ReportMetric(float64(l.saveCount-savesBefore)/float64(b.N), "syncs/commit")
}
