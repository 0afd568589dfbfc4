package state

import (
	"fmt"
	"runtime"
	"testing"

	"pollenlatch"
)

var sizes = []struct {
	ranges int
	bits   []uint32 // range bits of services that have this number of ranges together
}{
	{1_000, []uint32{9, 8, 7, 6, 5, 3}},
	{10_000, []uint32{13, 10, 9, 8, 4}},
	{100_000, []uint32{16, 15, 10, 9, 7, 5}},
	{524_288, []uint32{19}},
}

const benchOwners = 4900

// newFilledHarness returns a harness in whose state 4,900 instances own all ranges,
// assigned in order and in batches of 1,000.
func newFilledHarness(b *testing.B, bits []uint32) *harness {
	b.Helper()
	h := &harness{t: b, state: new(State)}
	var spec pollenlatch.Spec
	for n, bit := range bits {
		spec.Services = append(spec.Services, keyedService(fmt.Sprint("s", n), bit))
	}
	h.ticket(1, "first", spec)
	for n := range benchOwners {
		id := h.join(fmt.Sprintf("instance-%04d", n), 1).Instance
		h.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: id, Lease: h.lease(id), Endpoint: pollenlatch.Endpoint{
			Service: "s0", Addr: "127.0.0.1:8080", Slots: 10, MaxConns: 100, Fenced: true, Ready: true,
		}}})
	}
	var batch []pollenlatch.AssignItem
	for _, svc := range spec.Services {
		for r := range svc.NumRanges() {
			to := pollenlatch.InstanceID(1 + (r*7919)%benchOwners)
			batch = append(batch, pollenlatch.AssignItem{Shard: pollenlatch.Shard{Service: svc.Name, Range: pollenlatch.Range(r)}, To: to})
			if len(batch) == 1000 {
				h.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: batch}})
				batch = nil
			}
		}
	}
	h.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: batch}})
	return h
}

func runSizes(b *testing.B, f func(b *testing.B, h *harness, ranges int)) {
	b.Helper()
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.ranges), func(b *testing.B) {
			h := newFilledHarness(b, size.bits)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, h, size.ranges)
		})
	}
}

// BenchmarkAssignOne applies an entry with one assignment of an unowned range.
func BenchmarkAssignOne(b *testing.B) { benchAssign(b, 1) }

// BenchmarkAssign1000 applies an entry with 1,000 assignments, spread over the
// owner table.
func BenchmarkAssign1000(b *testing.B) { benchAssign(b, 1000) }

func benchAssign(b *testing.B, n int) {
	b.Helper()
	runSizes(b, func(b *testing.B, h *harness, _ int) {
		b.Helper()
		b.StopTimer()
		var all []pollenlatch.Shard
		for _, svc := range h.state.Services() {
			h.state.EachShard(svc.Name, func(o pollenlatch.Owner) bool {
				all = append(all, o.Shard)
				return true
			})
		}
		items := make([]pollenlatch.AssignItem, 0, n)
		for i := range n {
			items = append(items, pollenlatch.AssignItem{Shard: all[i*523%len(all)], To: 2})
		}
		// The ranges have no owner, so that every item is applied.
		d := newDraft(h.state, h.state.version+1)
		for i, item := range items {
			o, _ := h.state.ShardOwner(item.Shard)
			items[i].ExpectedFence = o.Fence
			d.setOwner(pollenlatch.Owner{Shard: item.Shard, Fence: o.Fence, Previous: 1})
		}
		s := d.finish()
		c := &pollenlatch.Command{Assign: &pollenlatch.Assign{Items: items}}
		if _, res := s.Apply(s.version+1, c); len(res.Changed) != n {
			b.Fatal(res.ItemRejections)
		}
		b.StartTimer()
		for b.Loop() {
			s.Apply(s.version+1, c)
		}
	})
}

// BenchmarkExpire applies the end of an instance's lease.
func BenchmarkExpire(b *testing.B) {
	runSizes(b, func(b *testing.B, h *harness, _ int) {
		b.Helper()
		c := &pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: 7, Lease: h.lease(7)}}
		for b.Loop() {
			h.state.Apply(h.state.version+1, c)
		}
	})
}

// BenchmarkOwned lists the shards of one instance.
func BenchmarkOwned(b *testing.B) {
	runSizes(b, func(b *testing.B, h *harness, _ int) {
		b.Helper()
		for b.Loop() {
			h.state.EachOwned(7, "", func(pollenlatch.Owner) bool { return true })
		}
	})
}

// BenchmarkOwner looks up the owner of a key, as the request path does.
func BenchmarkOwner(b *testing.B) {
	runSizes(b, func(b *testing.B, h *harness, _ int) {
		b.Helper()
		for b.Loop() {
			h.state.Owner("s0", "booking-4711")
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	runSizes(b, func(b *testing.B, h *harness, ranges int) {
		b.Helper()
		var n int
		for b.Loop() {
			n = len(snapshot(b, h.state))
		}
		b.ReportMetric(float64(n), "bytes")
		table := 0
		for _, svc := range h.state.services {
			table += len(svc.encodeTable())
		}
		b.ReportMetric(float64(table)/float64(ranges), "tablebytes/range")
	})
}

func BenchmarkLoad(b *testing.B) {
	runSizes(b, func(b *testing.B, h *harness, ranges int) {
		b.Helper()
		data := snapshot(b, h.state)
		for b.Loop() {
			if _, err := Load(data); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		before := heapBytes()
		s, _ := Load(data)
		held := float64(heapBytes() - before)
		b.ReportMetric(held/float64(ranges), "heapbytes/range")
		b.ReportMetric(held/(1<<20), "heapMB")
		runtime.KeepAlive(s)
		runtime.KeepAlive(h)
		runtime.KeepAlive(data)
	})
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMoveGroups applies an entry that moves 64 groups of 8 ranges, as in a
// rolling replacement of servers. The service has 65,536 ranges, half of them with
// a token from their previous server.
func BenchmarkMoveGroups(b *testing.B) {
	h := newFilledHarness(b, []uint32{16})
	svc := h.state.Services()[0]
	d := newDraft(h.state, h.state.version+1)
	for r := range svc.NumRanges() / 2 {
		o, _ := h.state.ShardOwner(pollenlatch.Shard{Service: svc.Name, Range: pollenlatch.Range(r)})
		d.setOwner(pollenlatch.Owner{Shard: o.Shard, Fence: o.Fence, Previous: o.Instance, Token: "5c0e7a21d94b36f8"})
	}
	s := d.finish()
	var items []pollenlatch.AssignItem
	for group := range 64 {
		for k := range 8 {
			shard := pollenlatch.Shard{Service: svc.Name, Range: pollenlatch.Range(group*512 + k)}
			o, _ := s.ShardOwner(shard)
			items = append(items, pollenlatch.AssignItem{Shard: shard, To: 2, ExpectedFence: o.Fence, Token: "7a21d94b36f85c0e"})
		}
	}
	c := &pollenlatch.Command{Assign: &pollenlatch.Assign{Items: items}}
	if _, res := s.Apply(s.version+1, c); len(res.Changed) != len(items) {
		b.Fatal(res.Rejection)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Apply(s.version+1, c)
	}
}

// BenchmarkEvacuate measures the order for a data centre that has all instances. The
// control loop applies it, and must not be blocked for as long as leases last.
func BenchmarkEvacuate(b *testing.B) {
	h := newFilledHarness(b, sizes[0].bits)
	b.ReportAllocs()
	for b.Loop() {
		h.state.Apply(h.state.Version()+1, &pollenlatch.Command{Evacuate: &pollenlatch.Evacuate{DC: "nadia", Known: h.state.Version()}})
	}
}
