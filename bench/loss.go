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
	// lossPoll is how often the state of every daemon is looked at.
	lossPoll  = time.Millisecond
	lossLimit = 20 * time.Second
	// lossPause lets a restarted instance own ranges again.
	lossPause = 2 * time.Second
)

// loss is how long the steps of one recovery took, each from the loss on.
type loss struct {
	victim  string
	leader  bool
	expired time.Duration // the lease has ended in the log
	owned   time.Duration // the key has another owner in the log
	granted time.Duration // that owner's daemon knows
	served  time.Duration // a caller has got an answer
}

// Losses kills instances one after the other, every third time the leader, and
// writes how long a key of the victim was without service, by step.
func Losses(ctx context.Context, w io.Writer, cfg Config, n int) error {
	dir, err := os.MkdirTemp("", "pollenlatch-loss-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cfg.Shape.ServiceTime = time.Millisecond
	f, err := cfg.start(ctx, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	var all []loss
	for i := range n {
		victim := cfg.victim(f, rng, i%3 == 0)
		l, err := cfg.lose(ctx, f, victim)
		if err != nil {
			return fmt.Errorf("loss %d, of %s: %w", i+1, victim, err)
		}
		all = append(all, l)
		if err := f.Restart(victim); err != nil {
			return err
		}
		if err := cfg.recovered(ctx, f); err != nil {
			return fmt.Errorf("after loss %d, of %s: %w", i+1, victim, err)
		}
		if err := pause(ctx, lossPause+time.Duration(rng.Int64N(int64(100*time.Millisecond)))); err != nil {
			return err
		}
	}
	return writeLosses(w, all)
}

// victim returns an instance that owns keys, the leader if wanted and possible.
func (c Config) victim(f *fleet.Fleet, rng *rand.Rand, leader bool) string {
	if name := leaderOf(f); leader {
		if _, _, err := c.keyOf(f, name); err == nil {
			return name
		}
	}
	for {
		name := f.Names()[rng.IntN(len(f.Names()))]
		if _, _, err := c.keyOf(f, name); err == nil {
			return name
		}
	}
}

func leaderOf(f *fleet.Fleet) string {
	for _, name := range f.Names() {
		if f.Node(name).Daemon.Access().IsLeader {
			return name
		}
	}
	return f.Names()[0]
}

// recovered waits until every instance owns ranges again.
func (c Config) recovered(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, lossLimit)
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

func (c Config) lose(ctx context.Context, f *fleet.Fleet, victim string) (loss, error) {
	ctx, cancel := context.WithTimeout(ctx, lossLimit)
	defer cancel()
	id := f.Node(victim).Daemon.Access().Self
	key, entry, err := c.keyOf(f, victim)
	if err != nil {
		return loss{}, err
	}
	l := loss{victim: victim, leader: f.Node(victim).Daemon.Access().IsLeader}
	start := time.Now() // Kill waits until the instance has ended
	f.Kill(victim)
	served := make(chan time.Duration, 1)
	go func() { served <- c.firstAnswer(ctx, entry, key, start) }()
	t := time.NewTicker(lossPoll)
	defer t.Stop()
	for l.served == 0 {
		select {
		case <-t.C:
			c.observe(f, victim, id, key, start, &l)
		case l.served = <-served:
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
	c.observe(f, victim, id, key, start, &l)
	return l, nil
}

// keyOf returns a key that an instance owns and the address of another one.
func (c Config) keyOf(f *fleet.Fleet, owner string) (key, entry string, err error) {
	for _, name := range f.Names() {
		if name != owner {
			entry = f.Node(name).Addrs.Front
		}
	}
	a := f.Node(owner).Daemon.Access()
	for i := range keys {
		key = fmt.Sprintf("key-%d", i)
		if o, ok := a.View.Owner(c.Shape.Service, key); ok && o.Instance == a.Self {
			return key, entry, nil
		}
	}
	return "", "", fmt.Errorf("instance %s owns none of %d keys", owner, keys)
}

// observe notes the steps that any living daemon shows.
func (c Config) observe(f *fleet.Fleet, victim string, id pollenlatch.InstanceID, key string, start time.Time, l *loss) {
	note := func(d *time.Duration, ok bool) {
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
		note(&l.expired, !i.Alive())
		note(&l.owned, o.Instance != id && o.Instance != 0)
		note(&l.granted, o.Instance == a.Self && a.Self != 0)
	}
}

// firstAnswer asks for a key until it is answered well.
func (c Config) firstAnswer(ctx context.Context, entry, key string, start time.Time) time.Duration {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/s/"+c.Shape.Service+"/"+key+"/", http.NoBody)
		if err != nil {
			return 0
		}
		w, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = w.Body.Close()
		if w.StatusCode == http.StatusOK {
			return time.Since(start)
		}
	}
	return 0
}

func writeLosses(w io.Writer, all []loss) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "losses\tstep, ms from the loss on\tmedian\tp90\tmax\t")
	for _, group := range []struct {
		name string
		keep func(l loss) bool
	}{
		{"of another", func(l loss) bool { return !l.leader }},
		{"of the leader", func(l loss) bool { return l.leader }},
	} {
		var part []loss
		for _, l := range all {
			if group.keep(l) {
				part = append(part, l)
			}
		}
		for _, step := range []struct {
			name string
			get  func(l loss) time.Duration
		}{
			{"detected: lease ended in the log", func(l loss) time.Duration { return l.expired }},
			{"committed: other owner in the log", func(l loss) time.Duration { return l.owned }},
			{"granted: the new owner knows", func(l loss) time.Duration { return l.granted }},
			{"served: first answer to a caller", func(l loss) time.Duration { return l.served }},
		} {
			if len(part) == 0 {
				continue
			}
			var d []time.Duration
			for _, l := range part {
				d = append(d, step.get(l))
			}
			slices.Sort(d)
			_, _ = fmt.Fprintf(t, "%d %s\t%s\t%d\t%d\t%d\t\n", len(part), group.name, step.name,
				d[len(d)/2].Milliseconds(), d[len(d)*9/10].Milliseconds(), d[len(d)-1].Milliseconds())
		}
	}
	return t.Flush()
}
