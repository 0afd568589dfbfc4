package plan

import (
	"math"
	"slices"

	"pollenlatch"
)

// scaleNow returns the factor by which reports are too high.
func (t *tracker) scaleAt(now pollenlatch.MonoTime) float64 {
	if t.scale == 0 {
		return 1
	}
	return math.Pow(t.scale, math.Exp2(-now.Sub(t.scaledAt).Seconds()/scaleHalfLife.Seconds()))
}

// change is the common change of the rates of one endpoint's ranges.
type rateChange struct {
	track *tracker
	ratio float64
}

// report takes a load report of an instance that owns so many shards. ok is false when it is not new or can't be
// compared with the one before.
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

// rescale corrects the reports of endpoints whose ranges all changed together,
// unlike those of the others.
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
		c.track.scale = c.track.scaleAt(now) * r
		c.track.scaledAt = now
	}
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}
