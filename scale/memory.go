package scale

import (
	"context"
	"errors"
	"runtime"
	"time"

	"pollenlatch"
	"pollenlatch/plan"
	"pollenlatch/state"
)

// measureState measures the heap that a state holds, the size of its snapshot and
// the time to load that.
func measureState(ctx context.Context, r *Report) error {
	for _, c := range []struct {
		ranges  int
		daemons int
	}{{1_000, targetDaemons}, {10_000, targetDaemons}, {100_000, targetDaemons}, {1 << targetRangeBits, targetDaemons}} {
		heldBytes, snapshotBytes, loadTime, err := measureLoad(ctx, r.Seed, c.daemons, c.ranges)
		if err != nil {
			return err
		}
		x := float64(c.ranges)
		r.add(PartState, "heap held, 4,900 instances", "range", "KB", x, heldBytes/1e3)
		r.add(PartState, "snapshot, 4,900 instances", "range", "KB", x, snapshotBytes/1e3)
		r.add(PartState, "load a snapshot, 4,900 instances", "range", "ms", x, millis(loadTime))
	}
	for _, n := range daemonSizes {
		heldBytes, snapshotBytes, loadTime, err := measureLoad(ctx, r.Seed, n, 1<<10)
		if err != nil {
			return err
		}
		r.add(PartState, "heap held, 1,024 ranges", "instance", "KB", float64(n), heldBytes/1e3)
		r.add(PartState, "snapshot, 1,024 ranges", "instance", "KB", float64(n), snapshotBytes/1e3)
		r.add(PartState, "load a snapshot, 1,024 ranges", "instance", "ms", float64(n), millis(loadTime))
	}
	return nil
}

// measureLoad returns the heap in bytes that a state holds after it was loaded from
// a snapshot, the size of the snapshot in bytes, and the processor time of loading.
func measureLoad(ctx context.Context, seed uint64, daemons, ranges int) (heldBytes, snapshotBytes float64, loadTime time.Duration, err error) {
	if err := ctx.Err(); err != nil {
		return 0, 0, 0, err
	}
	initial, err := newInitialStateOf(seed, daemons, ranges)
	if err != nil {
		return 0, 0, 0, err
	}
	data := initial.snapshot
	before := heapBytes()
	s, err := state.Load(data)
	if err != nil {
		return 0, 0, 0, err
	}
	heldBytes = heapBytes() - before
	runtime.KeepAlive(s)
	start := cpuTime()
	for range repetitions {
		if _, err := state.Load(data); err != nil {
			return 0, 0, 0, err
		}
	}
	loadTime = (cpuTime() - start) / repetitions
	runtime.KeepAlive(initial)
	return heldBytes, float64(len(data)), loadTime, nil
}

// measurePlan measures the planner's heap and its time for a plan after the loss of
// an instance.
func measurePlan(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		initial, err := newInitialState(r.Seed, n, targetRangeBits)
		if err != nil {
			return err
		}
		p := plan.New(plan.Settings{})
		before := heapBytes()
		p.Plan(pollenlatch.PlanInput{View: initial.state, Now: 1})
		r.add(PartPlan, "heap held by the planner", "daemon", "MB", float64(n), (heapBytes()-before)/1e6)
		s, now := initial.state, pollenlatch.MonoTime(time.Second)
		var total, longest time.Duration
		for i := range repetitions {
			id := pollenlatch.InstanceID(2 + i)
			me, _ := s.Instance(id)
			next, res := s.Apply(s.Version()+1, &pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: id, Lease: me.Lease}})
			if res.Rejection != "" {
				return errors.New(res.Rejection)
			}
			now = now.Add(time.Second)
			start := cpuTime()
			moves := p.Plan(pollenlatch.PlanInput{View: next, Now: now})
			planTime := cpuTime() - start
			total += planTime
			longest = max(longest, planTime)
			assign := new(pollenlatch.Assign)
			for _, m := range moves {
				if m.From == 0 {
					assign.Items = append(assign.Items, pollenlatch.AssignItem{Shard: m.Shard, To: m.To, ExpectedFence: m.Fence})
				}
			}
			if len(assign.Items) < len(res.Changed) {
				return errors.New("planner did not reassign all shards of the lost instance")
			}
			s, _ = next.Apply(next.Version()+1, &pollenlatch.Command{Assign: assign})
		}
		r.add(PartPlan, "one plan after one loss, mean", "daemon", "ms", float64(n), millis(total)/repetitions)
		r.add(PartPlan, "one plan after one loss, longest", "daemon", "ms", float64(n), millis(longest))
	}
	return nil
}

// measureMemory measures the heap that the state and the reducer hold in a daemon.
func measureMemory(ctx context.Context, r *Report) error {
	for _, ranges := range []int{1_000, 10_000, 100_000, 1 << targetRangeBits} {
		if err := ctx.Err(); err != nil {
			return err
		}
		initial, err := newInitialStateOf(r.Seed, targetDaemons, ranges)
		if err != nil {
			return err
		}
		before := heapBytes()
		d, err := newMeasuredDaemon(initial)
		if err != nil {
			return err
		}
		r.add(PartMemory, "daemon's heap: state and reducer", "range", "MB", float64(ranges), (heapBytes()-before)/1e6)
		runtime.KeepAlive(d)
		runtime.KeepAlive(initial)
	}
	return nil
}
