package plan

import (
	"math"
	"slices"

	"pollenlatch"
)

// scaleNow returns the factor by which reports are too high.
func (t *track) scaleNow(now pollenlatch.MonoTime) float64 {
	if t.scale == 0 {
		return 1
	}
	return math.Pow(t.scale, math.Exp2(-now.Sub(t.scaledAt).Seconds()/scaleHalf.Seconds()))
}

// change is the common change of the rates of one endpoint's ranges.
type change struct {
	track *track
	ratio float64
}

// report takes a load report of an instance that owns so many shards. ok is false when it is not new or can't be
// compared with the one before.
func (t *track) report(l pollenlatch.Load, owned int, now pollenlatch.MonoTime) (c change, ok bool) {
	if l.Rate == t.load.Rate && len(l.Ranges) == len(t.load.Ranges) {
		t.load = l
		return c, false
	}
	t.owned = owned
	var ratios []float64
	for _, a := range t.load.Ranges {
		for _, b := range l.Ranges {
			if a.Range == b.Range && a.Service == b.Service && a.Rate > 0 && b.Rate > 0 {
				ratios = append(ratios, b.Rate/a.Rate)
			}
		}
	}
	t.load = l
	if len(ratios) < scaleRanges || !t.usable || now.Sub(t.since) < scaleAfter {
		return c, false
	}
	slices.Sort(ratios)
	if ratios[len(ratios)*3/4] > ratios[len(ratios)/4]*scaleSpread {
		return c, false
	}
	return change{t, ratios[len(ratios)/2]}, true
}

// rescale corrects the reports of endpoints whose ranges all changed together,
// unlike those of the others.
func rescale(changes []change, now pollenlatch.MonoTime) {
	if len(changes) < scaleOthers {
		return
	}
	ratios := make([]float64, len(changes))
	for i, c := range changes {
		ratios[i] = c.ratio
	}
	common := median(ratios)
	for _, c := range changes {
		r := c.ratio / common
		if r < scaleStep && r > 1/scaleStep {
			continue
		}
		c.track.scale = c.track.scaleNow(now) * r
		c.track.scaledAt = now
	}
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}
