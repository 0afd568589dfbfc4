package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/fleet"
)

const (
	// lossPollInterval is the interval at which the state of every daemon is read.
	lossPollInterval = time.Millisecond
	lossTimeout      = 20 * time.Second // maximum wait for a recovery
	// lossRecoveryTime is the time for a restarted instance to own ranges again.
	lossRecoveryTime = 2 * time.Second
)

// recovery is the duration of each step of the recovery from one loss, counted
// from the loss.
type recovery struct {
	victim     string
	wasLeader  bool
	expired    time.Duration // until the victim's lease has ended in the log
	reassigned time.Duration // until the key has another owner in the log
	granted    time.Duration // until the daemon of the new owner has applied that
	served     time.Duration // until a caller has received a response
}

// RunLosses kills n instances one after the other, with the leader every third
// time, and writes how long each step takes until a key of the instance is served
// again.
func RunLosses(ctx context.Context, w io.Writer, cfg Config, n int) error {
	dir, err := os.MkdirTemp("", "pollenlatch-loss-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cfg.Shape.ServiceTime = time.Millisecond
	f, err := cfg.startFleet(ctx, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	var recoveries []recovery
	for i := range n {
		victim := cfg.pickVictim(f, rng, i%3 == 0)
		rec, err := cfg.measureLoss(ctx, f, victim)
		if err != nil {
			return fmt.Errorf("loss %d (instance %s): %w", i+1, victim, err)
		}
		recoveries = append(recoveries, rec)
		if err := f.StartInstance(victim); err != nil {
			return err
		}
		if err := cfg.waitRecovered(ctx, f); err != nil {
			return fmt.Errorf("recovery after loss %d (instance %s): %w", i+1, victim, err)
		}
		if err := sleep(ctx, lossRecoveryTime+time.Duration(rng.Int64N(int64(100*time.Millisecond)))); err != nil {
			return err
		}
	}
	return writeRecoveries(w, recoveries)
}

// pickVictim returns an instance that owns keys: the leader if preferLeader is
// set and it owns any, otherwise a random one.
func (c Config) pickVictim(f *fleet.Fleet, rng *rand.Rand, preferLeader bool) string {
	if name := leaderName(f); preferLeader {
		if _, _, err := c.ownedKey(f, name); err == nil {
			return name
		}
	}
	for {
		name := f.Names()[rng.IntN(len(f.Names()))]
		if _, _, err := c.ownedKey(f, name); err == nil {
			return name
		}
	}
}

// leaderName returns the name of the leader, or of the first instance if there is
// none.
func leaderName(f *fleet.Fleet) string {
	for _, name := range f.Names() {
		if f.Node(name).Daemon.Access().IsLeader {
			return name
		}
	}
	return f.Names()[0]
}

// waitRecovered waits until every daemon holds a lease and sees no range without
// an owner.
func (c Config) waitRecovered(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, lossTimeout)
	defer cancel()
	return f.Wait(ctx, func(a *ctrl.Access) bool {
		owners := make(pollenlatch.Set[pollenlatch.InstanceID])
		s, _ := a.View.Service(c.Shape.Service)
		for i := range s.NumRanges() {
			o, _ := a.View.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)})
			owners[o.Instance] = struct{}{}
		}
		return a.LeaseEnd > 0 && !owners.Has(0)
	})
}

// measureLoss kills an instance and measures the recovery.
func (c Config) measureLoss(ctx context.Context, f *fleet.Fleet, victim string) (recovery, error) {
	ctx, cancel := context.WithTimeout(ctx, lossTimeout)
	defer cancel()
	id := f.Node(victim).Daemon.Access().Self
	key, entryAddr, err := c.ownedKey(f, victim)
	if err != nil {
		return recovery{}, err
	}
	rec := recovery{victim: victim, wasLeader: f.Node(victim).Daemon.Access().IsLeader}
	start := time.Now() // before Kill, which waits until the instance has stopped
	f.Kill(victim)
	served := make(chan time.Duration, 1)
	go func() { served <- c.firstResponse(ctx, entryAddr, key, start) }()
	t := time.NewTicker(lossPollInterval)
	defer t.Stop()
	for rec.served == 0 {
		select {
		case <-t.C:
			c.recordSteps(f, victim, id, key, start, &rec)
		case rec.served = <-served:
		case <-ctx.Done():
			return rec, ctx.Err()
		}
	}
	c.recordSteps(f, victim, id, key, start, &rec)
	return rec, nil
}

// ownedKey returns a key that an instance owns, and the front address of another
// instance.
func (c Config) ownedKey(f *fleet.Fleet, owner string) (key, entryAddr string, err error) {
	for _, name := range f.Names() {
		if name != owner {
			entryAddr = f.Node(name).Addrs.Front
		}
	}
	a := f.Node(owner).Daemon.Access()
	for i := range keyCount {
		key = fmt.Sprintf("key-%d", i)
		if o, ok := a.View.Owner(c.Shape.Service, key); ok && o.Instance == a.Self {
			return key, entryAddr, nil
		}
	}
	return "", "", fmt.Errorf("instance %s owns none of %d keys", owner, keyCount)
}

// recordSteps records the time of each step that the state of any running daemon
// shows for the first time.
func (c Config) recordSteps(f *fleet.Fleet, victim string, id pollenlatch.InstanceID, key string, start time.Time, rec *recovery) {
	recordFirst := func(d *time.Duration, ok bool) {
		if *d == 0 && ok {
			*d = time.Since(start)
		}
	}
	for _, name := range f.Names() {
		if name == victim {
			continue
		}
		a := f.Node(name).Daemon.Access()
		i, _ := a.View.Instance(id)
		o, _ := a.View.Owner(c.Shape.Service, key)
		recordFirst(&rec.expired, !i.Alive())
		recordFirst(&rec.reassigned, o.Instance != id && o.Instance != 0)
		recordFirst(&rec.granted, o.Instance == a.Self && a.Self != 0)
	}
}

// firstResponse sends requests for a key until one has status 200, and returns
// the time since start. When ctx ends before, it returns 0.
func (c Config) firstResponse(ctx context.Context, entryAddr, key string, start time.Time) time.Duration {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entryAddr+"/s/"+c.Shape.Service+"/"+key+"/", http.NoBody)
		if err != nil {
			return 0
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return time.Since(start)
		}
	}
	return 0
}

func writeRecoveries(w io.Writer, recoveries []recovery) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "losses\tstep, ms from the loss on\tmedian\tp90\tmax\t")
	for _, group := range []struct {
		name string
		keep func(rec recovery) bool
	}{
		{"of another", func(rec recovery) bool { return !rec.wasLeader }},
		{"of the leader", func(rec recovery) bool { return rec.wasLeader }},
	} {
		var selected []recovery
		for _, rec := range recoveries {
			if group.keep(rec) {
				selected = append(selected, rec)
			}
		}
		for _, step := range []struct {
			name string
			get  func(rec recovery) time.Duration
		}{
			{"detected: lease ended in the log", func(rec recovery) time.Duration { return rec.expired }},
			{"committed: other owner in the log", func(rec recovery) time.Duration { return rec.reassigned }},
			{"granted: the new owner knows", func(rec recovery) time.Duration { return rec.granted }},
			{"served: first answer to a caller", func(rec recovery) time.Duration { return rec.served }},
		} {
			if len(selected) == 0 {
				continue
			}
			var times []time.Duration
			for _, rec := range selected {
				times = append(times, step.get(rec))
			}
			slices.Sort(times)
			_, _ = fmt.Fprintf(t, "%d %s\t%s\t%d\t%d\t%d\t\n", len(selected), group.name, step.name,
				times[len(times)/2].Milliseconds(), times[len(times)*9/10].Milliseconds(), times[len(times)-1].Milliseconds())
		}
	}
	return t.Flush()
}
