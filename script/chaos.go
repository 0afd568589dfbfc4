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

// Seeds returns the seeds of a soak test: n consecutive seeds from first on. If first
// is 0, it returns the regression seeds and n seeds from the clock.
func Seeds(regressions []uint64, first uint64, n int) []uint64 {
	var out []uint64
	if first == 0 {
		first = uint64(time.Now().UnixNano())
		out = slices.Clone(regressions)
	}
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

// KeepLogs copies the folder of the deployment to a temporary folder that outlives
// the test, and returns that folder.
func (d *Deployment) KeepLogs(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", err
	}
	return dir, os.CopyFS(filepath.Join(dir, "run"), os.DirFS(d.Dir))
}

// Disturbance is a kind of disturbance.
type Disturbance struct {
	// AffectsProcesses says that the disturbance acts on the processes of an instance.
	// Two of these never act on the same instance at the same time.
	AffectsProcesses bool
	// Do starts the disturbance at an instance and ends it after the duration. other
	// is a random instance for disturbances between two, and may be the same.
	Do func(at, other *Instance, duration time.Duration)
}

// Chaos runs random disturbances at random times.
type Chaos struct {
	Rand          *rand.Rand
	MaxConcurrent int           // disturbances at the same time
	Duration      time.Duration // time during which disturbances start
	MaxPause      time.Duration // between two starts
	MinDuration   time.Duration // of a disturbance
	MaxDuration   time.Duration // of a disturbance
	Sleep         func(time.Duration)
}

// Run starts disturbances for c.Duration and returns when all of them have ended.
func (c Chaos) Run(instances []*Instance, disturbances []Disturbance) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, c.MaxConcurrent)
	affected := make(map[*Instance]bool) // instances with a disturbance of their processes
	var mu sync.Mutex
	for end := time.Now().Add(c.Duration); time.Now().Before(end); {
		c.Sleep(c.randomBelow(c.MaxPause))
		at := instances[c.Rand.IntN(len(instances))]
		other := instances[c.Rand.IntN(len(instances))]
		disturbance := disturbances[c.Rand.IntN(len(disturbances))]
		duration := c.MinDuration + c.randomBelow(c.MaxDuration-c.MinDuration)
		mu.Lock()
		skip := disturbance.AffectsProcesses && affected[at]
		affected[at] = affected[at] || disturbance.AffectsProcesses
		mu.Unlock()
		if skip {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			disturbance.Do(at, other, duration)
			mu.Lock()
			defer mu.Unlock()
			if disturbance.AffectsProcesses {
				delete(affected, at)
			}
		})
	}
	wg.Wait()
}

// randomBelow returns a random duration below limit, in whole milliseconds.
func (c Chaos) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(c.Rand.IntN(int(limit/time.Millisecond))) * time.Millisecond
}
