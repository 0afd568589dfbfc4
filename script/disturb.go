package script

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Seeds returns the seeds of a soak: some from first on, or as many fresh ones and
// those that have failed before when first is 0.
func Seeds(failed []uint64, first uint64, n int) []uint64 {
	var out []uint64
	if first == 0 {
		first = uint64(time.Now().UnixNano())
		out = slices.Clone(failed)
	}
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

// KeepLogs copies the logs of a run that failed to a folder that stays.
func (d *Deployment) KeepLogs(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", err
	}
	return dir, os.CopyFS(filepath.Join(dir, "run"), os.DirFS(d.Dir))
}

// Disturbance is a kind of disturbance.
type Disturbance struct {
	// AffectsProcesses says that it acts on the processes of an instance: two of these
	// do not act on the same instance at a time.
	AffectsProcesses bool
	// Do makes the disturbance at an instance, and undoes it after a time. Other
	// is a second instance.
	Do func(at, other *Instance, last time.Duration)
}

// Chaos starts disturbances at random moments.
type Chaos struct {
	Rand          *rand.Rand
	MaxConcurrent int           // disturbances that last at the same time
	Duration      time.Duration // no disturbance starts after this
	MaxPause      time.Duration // longest time between two starts
	MinDuration   time.Duration // shortest time that one lasts
	MaxDuration   time.Duration // longest time that one lasts
	Sleep         func(time.Duration)
}

// Run makes disturbances until the time is over and all of them have ended.
func (c Chaos) Run(all []*Instance, kinds []Disturbance) {
	var wg sync.WaitGroup
	busy := make(chan struct{}, c.MaxConcurrent)
	held := make(map[*Instance]bool) // whose processes are acted on
	var mu sync.Mutex
	for end := time.Now().Add(c.Duration); time.Now().Before(end); {
		c.Sleep(c.below(c.MaxPause))
		at := all[c.Rand.IntN(len(all))]
		other := all[c.Rand.IntN(len(all))]
		k := kinds[c.Rand.IntN(len(kinds))]
		last := c.MinDuration + c.below(c.MaxDuration-c.MinDuration)
		mu.Lock()
		taken := k.AffectsProcesses && held[at]
		held[at] = held[at] || k.AffectsProcesses
		mu.Unlock()
		if taken {
			continue
		}
		busy <- struct{}{}
		wg.Go(func() {
			defer func() { <-busy }()
			k.Do(at, other, last)
			mu.Lock()
			defer mu.Unlock()
			if k.AffectsProcesses {
				delete(held, at)
			}
		})
	}
	wg.Wait()
}

// below returns a random time of whole milliseconds below most.
func (c Chaos) below(most time.Duration) time.Duration {
	return time.Duration(c.Rand.IntN(int(most/time.Millisecond))) * time.Millisecond
}
