package pick

import (
	"time"

	"pollenlatch"
)

// First picks the first usable endpoint, in the caller's data centre if there
// is one. The zero value is ready to use.
type First struct{}

// Pick implements pollenlatch.Picker.
func (First) Pick(candidates []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	var other pollenlatch.Instance
	for _, i := range candidates {
		switch {
		case !i.Usable() || tried.Has(i.ID):
		case i.DC == dc:
			return i, ignore, true
		case other.ID == 0:
			other = i
		}
	}
	return other, ignore, other.ID != 0
}

func ignore(pollenlatch.Outcome, pollenlatch.Reason, time.Duration) {}
