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

// benchVoter is one voter with a folder on disk.
type benchVoter struct {
	r     *quorum.Replica
	store *Store
	saved chan quorum.Persisted
	saves int
}

// logBytes returns the size of the log; nothing is dropped from it here.
func (v *benchVoter) logBytes(b *testing.B) (n int) {
	b.Helper()
	for _, g := range v.store.segments {
		content, err := v.store.folder.Read(g.name)
		require.NoError(b, err)
		n += len(content)
	}
	return n
}

// benchGroup delivers messages at once and lets the voters' disks work at the
// same time, as on three instances. All folders are on one disk here.
type benchGroup struct {
	b         *testing.B
	voters    map[string]*benchVoter
	sent      int64 // bytes of messages
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
			g.sent += int64(len(m))
			var got quorum.Message
			require.NoError(g.b, pollenlatch.Decode(m, &got))
			g.step(e.To.Name, quorum.Receive{Now: g.now(), From: name, Message: got})
		case quorum.Persist:
			v.saves++
			go func() {
				err := v.store.Save(e)
				v.saved <- quorum.Persisted{Now: g.now(), Seq: e.Seq, Err: err}
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

// wait handles one finished save, or lets time pass.
func (g *benchGroup) wait() {
	a, b, c := g.voters["a"], g.voters["b"], g.voters["c"]
	select {
	case p := <-a.saved:
		g.step("a", p)
	case p := <-b.saved:
		g.step("b", p)
	case p := <-c.saved:
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

// BenchmarkCommit measures entries committed by three voters: one at a time,
// and with 64 proposed at a time.
func BenchmarkCommit(b *testing.B) {
	for _, c := range []struct {
		name    string
		command pollenlatch.Command
	}{{"ticket of 4 KB", ticketCommand(4 << 10)}, {"1000 assignments", assignCommand(1000)}} {
		for _, width := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/%d at a time", c.name, width), func(b *testing.B) { benchCommit(b, c.command, width) })
		}
	}
}

func benchCommit(b *testing.B, command pollenlatch.Command, width int) {
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
		g.voters[name] = &benchVoter{store: s, saved: make(chan quorum.Persisted, 1)}
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
		g.wait()
	}
	g.sent, g.committed = 0, 0
	l := g.leader()
	saves, written := l.saves, l.logBytes(b)
	b.ResetTimer()
	for g.committed < b.N {
		n := min(width, b.N-g.committed)
		p := quorum.Propose{Now: g.now()}
		for range n {
			p.Data = append(p.Data, data)
		}
		until := g.committed + n
		for id := range g.voters {
			if g.voters[id] == l {
				g.step(id, p)
			}
		}
		for g.committed < until {
			g.wait()
			require.True(b, l.r.Leading(g.now()), "leadership was lost")
		}
	}
	b.StopTimer()
	for _, v := range g.voters { // saves in progress
		for v.r.LastIndex() < l.r.LastIndex() {
			g.wait()
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(len(data)), "entry-bytes")
	b.ReportMetric(float64(g.sent)/float64(b.N), "sent-bytes/commit")
	b.ReportMetric(float64(l.logBytes(b)-written)/float64(b.N), "log-bytes/commit")
	b.ReportMetric(float64(l.saves-saves)/float64(b.N), "syncs/commit")
}
