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

// Runs returns every run of every server, in the order of their start.
func (d *Deployment) Runs() ([]sample.Run, error) {
	var all []sample.Run
	for _, i := range d.instances {
		b, err := os.ReadFile(d.record(i))
		if err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		for line := range strings.Lines(string(b)) {
			r, err := parseRun(line)
			if err != nil {
				return nil, fmt.Errorf("record of %s: %w", i.Name, err)
			}
			r.Shard.Service = i.Service
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b sample.Run) int { return a.Start.Compare(b.Start) })
	return all, nil
}

// FindContradictions compares what callers were told with what the servers ran. It returns
// one text for each contradiction.
func FindContradictions(told map[string]string, runs []sample.Run) (faults []string) {
	count := make(map[string]int)
	fences := make(map[pollenlatch.Shard]sample.Run)
	for _, r := range runs {
		count[r.ID]++
		if last, ok := fences[r.Shard]; ok && r.Fence < last.Fence {
			faults = append(faults, fmt.Sprintf("request %s ran under fence %d of range %d after %s had run under fence %d",
				r.ID, r.Fence, r.Shard.Range, last.ID, last.Fence))
		}
		if r.Fence != 0 {
			fences[r.Shard] = r
		}
	}
	for id, n := range count {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for id, outcome := range told {
		switch n := count[id]; {
		case outcome == outcomeNotRun && n > 0:
			faults = append(faults, fmt.Sprintf("request %s ran, and its caller was told %s", id, outcome))
		case outcome == outcomeRun && n == 0:
			faults = append(faults, fmt.Sprintf("request %s did not run, and its caller was told %s", id, outcome))
		}
	}
	slices.SortFunc(faults, cmp.Compare)
	return faults
}
