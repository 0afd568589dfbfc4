package plan

import (
	"math"
	"slices"

	"pollenlatch"
)

// scaleAt returns the factor by which reported rates are too high. A correction
// decays with the half-life scaleHalfLife.
func (t *tracker) scaleAt(now pollenlatch.MonoTime) float64 {
	if t.scale == 0 {
		return 1
	}
	return math.Pow(t.scale, math.Exp2(-now.Sub(t.scaledAt).Seconds()/scaleHalfLife.Seconds()))
}

// rateChange is the median ratio by which the rates of an endpoint's ranges changed
// between two reports.
type rateChange struct {
	tracker *tracker
	ratio   float64
}

// addReport records a load report of an instance that owns the number of shards. ok
// is false when the report is not new or can't be compared with the one before.
func (t *tracker) addReport(l pollenlatch.Load, owned int, now pollenlatch.MonoTime) (c rateChange, ok bool) {
	if l.Rate == t.load.Rate && len(l.Ranges) == len(t.load.Ranges) {
		t.load = l
		return c, false
	}
	t.reportedShards = owned
	var ratios []float64
	for _, before := range t.load.Ranges {
		for _, after := range l.Ranges {
			if before.Range == after.Range && before.Service == after.Service && before.Rate > 0 && after.Rate > 0 {
				ratios = append(ratios, after.Rate/before.Rate)
			}
		}
	}
	t.load = l
	if len(ratios) < minScaleRanges || !t.usable || now.Sub(t.usableChangedAt) < minScaleAge {
		return c, false
	}
	slices.Sort(ratios)
	if ratios[len(ratios)*3/4] > ratios[len(ratios)/4]*maxScaleSpread {
		return c, false
	}
	return rateChange{t, ratios[len(ratios)/2]}, true
}

// correctScales corrects the scale of endpoints whose ranges all changed by one
// factor, unlike those of the other endpoints.
func correctScales(changes []rateChange, now pollenlatch.MonoTime) {
	if len(changes) < minScaleEndpoints {
		return
	}
	ratios := make([]float64, len(changes))
	for i, c := range changes {
		ratios[i] = c.ratio
	}
	common := median(ratios)
	for _, c := range changes {
		r := c.ratio / common
		if r < minScaleStep && r > 1/minScaleStep {
			continue
		}
		c.tracker.scale = c.tracker.scaleAt(now) * r
		c.tracker.scaledAt = now
	}
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}
