package script

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"pollenlatch"
	"pollenlatch/sample"
)

// Runs returns the runs of all servers in the order in which they started.
func (d *Deployment) Runs() ([]sample.Run, error) {
	var all []sample.Run
	for _, i := range d.instances {
		b, err := os.ReadFile(d.runsFile(i))
		if err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		for line := range strings.Lines(string(b)) {
			r, err := parseRun(line)
			if err != nil {
				return nil, fmt.Errorf("runs file of %s: %w", i.Name, err)
			}
			r.Shard.Service = i.Service
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b sample.Run) int { return a.Start.Compare(b.Start) })
	return all, nil
}

// FindContradictions compares the outcomes that callers received, by request, with
// the runs at the servers. It returns one text for each contradiction.
func FindContradictions(outcomes map[string]string, runs []sample.Run) (contradictions []string) {
	runCount := make(map[string]int)
	lastRun := make(map[pollenlatch.Shard]sample.Run)
	for _, r := range runs {
		runCount[r.ID]++
		if previous, ok := lastRun[r.Shard]; ok && r.Fence < previous.Fence {
			contradictions = append(contradictions, fmt.Sprintf("request %s ran under fence %d of range %d after request %s ran under fence %d",
				r.ID, r.Fence, r.Shard.Range, previous.ID, previous.Fence))
		}
		if r.Fence != 0 {
			lastRun[r.Shard] = r
		}
	}
	for id, n := range runCount {
		if n > 1 {
			contradictions = append(contradictions, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for id, outcome := range outcomes {
		switch n := runCount[id]; {
		case outcome == outcomeNotRun && n > 0:
			contradictions = append(contradictions, fmt.Sprintf("request %s ran, but its caller received %s", id, outcome))
		case outcome == outcomeRun && n == 0:
			contradictions = append(contradictions, fmt.Sprintf("request %s did not run, but its caller received %s", id, outcome))
		}
	}
	slices.SortFunc(contradictions, cmp.Compare)
	return contradictions
}
