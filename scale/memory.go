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

// measureState measures the memory of a state, its snapshot and its loading.
func measureState(ctx context.Context, r *Report) error {
	for _, c := range []struct {
		ranges  int
		daemons int
	}{{1_000, targetDaemons}, {10_000, targetDaemons}, {100_000, targetDaemons}, {1 << targetBits, targetDaemons}} {
		held, size, took, err := loaded(ctx, r.Seed, c.daemons, c.ranges)
		if err != nil {
			return err
		}
		x := float64(c.ranges)
		r.add(State, "heap held, 4,900 instances", "range", "KB", x, held/1e3)
		r.add(State, "snapshot, 4,900 instances", "range", "KB", x, size/1e3)
		r.add(State, "load a snapshot, 4,900 instances", "range", "ms", x, millis(took))
	}
	for _, n := range daemonSizes {
		held, size, took, err := loaded(ctx, r.Seed, n, 1<<10)
		if err != nil {
			return err
		}
		r.add(State, "heap held, 1,024 ranges", "instance", "KB", float64(n), held/1e3)
		r.add(State, "snapshot, 1,024 ranges", "instance", "KB", float64(n), size/1e3)
		r.add(State, "load a snapshot, 1,024 ranges", "instance", "ms", float64(n), millis(took))
	}
	return nil
}

// loaded returns the heap that a loaded state holds in bytes, the size of its
// snapshot in bytes, and the processor time of loading.
func loaded(ctx context.Context, seed uint64, daemons, ranges int) (held, size float64, took time.Duration, err error) {
	if err := ctx.Err(); err != nil {
		return 0, 0, 0, err
	}
	w, err := newWorldOf(seed, daemons, ranges)
	if err != nil {
		return 0, 0, 0, err
	}
	data := w.data
	before := heap()
	s, err := state.Load(data)
	if err != nil {
		return 0, 0, 0, err
	}
	held = heap() - before
	runtime.KeepAlive(s)
	start := cpu()
	for range repeats {
		if _, err := state.Load(data); err != nil {
			return 0, 0, 0, err
		}
	}
	took = (cpu() - start) / repeats
	runtime.KeepAlive(w)
	return held, float64(len(data)), took, nil
}

// measurePlan measures the planner after one loss.
func measurePlan(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		w, err := newWorld(r.Seed, n, targetBits)
		if err != nil {
			return err
		}
		p := plan.New(plan.Settings{})
		before := heap()
		p.Plan(pollenlatch.PlanInput{View: w.s, Now: 1})
		r.add(Plan, "heap held by the planner", "daemon", "MB", float64(n), (heap()-before)/1e6)
		s, now := w.s, pollenlatch.MonoTime(time.Second)
		var total, longest time.Duration
		for i := range repeats {
			id := pollenlatch.InstanceID(2 + i)
			me, _ := s.Instance(id)
			next, res := s.Apply(s.Version()+1, &pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: id, Lease: me.Lease}})
			if res.Rejection != "" {
				return errors.New(res.Rejection)
			}
			now = now.Add(time.Second)
			start := cpu()
			moves := p.Plan(pollenlatch.PlanInput{View: next, Now: now})
			d := cpu() - start
			total += d
			longest = max(longest, d)
			a := new(pollenlatch.Assign)
			for _, m := range moves {
				if m.From == 0 {
					a.Items = append(a.Items, pollenlatch.AssignItem{Shard: m.Shard, To: m.To, ExpectedFence: m.Fence})
				}
			}
			if len(a.Items) < len(res.Changed) {
				return errors.New("the planner left lost ranges without an owner")
			}
			s, _ = next.Apply(next.Version()+1, &pollenlatch.Command{Assign: a})
		}
		r.add(Plan, "one plan after one loss, mean", "daemon", "ms", float64(n), millis(total)/repeats)
		r.add(Plan, "one plan after one loss, longest", "daemon", "ms", float64(n), millis(longest))
	}
	return nil
}

// measureMemory measures what control holds in a daemon: state and reducer,
// also with a second version of the state while traffic still reads the first.
func measureMemory(ctx context.Context, r *Report) error {
	for _, ranges := range []int{1_000, 10_000, 100_000, 1 << targetBits} {
		if err := ctx.Err(); err != nil {
			return err
		}
		w, err := newWorldOf(r.Seed, targetDaemons, ranges)
		if err != nil {
			return err
		}
		before := heap()
		d, err := newDaemon(w)
		if err != nil {
			return err
		}
		r.add(Memory, "daemon's heap: state and reducer", "range", "MB", float64(ranges), (heap()-before)/1e6)
		runtime.KeepAlive(d)
		runtime.KeepAlive(w)
	}
	return nil
}
