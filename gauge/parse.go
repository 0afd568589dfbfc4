package gauge

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"pollenlatch"
)

// Slowness that a server states is limited to this range, in percent of the usual, so
// that one wrong figure changes a forecast by a factor of at most ten.
const (
	minSlowness = 25
	maxSlowness = 1000
)

// maxRequests is the maximum number of requests that a load may state. A larger one is
// not the load of one server.
const maxRequests = 1 << 20

var errLoad = errors.New("load is not running,waiting,slots[,slowness]")

// Parse parses a load in the format running,waiting,slots[,slowness].
func Parse(s string) (pollenlatch.ServerLoad, error) {
	var l pollenlatch.ServerLoad
	fields := [...]*uint32{&l.Running, &l.Waiting, &l.Slots, &l.Slowness}
	n := 0
	for part := range strings.SplitSeq(s, ",") {
		if n == len(fields) {
			return pollenlatch.ServerLoad{}, fmt.Errorf("%w: %q", errLoad, s)
		}
		v, err := strconv.ParseUint(strings.TrimSpace(part), 10, 32)
		if err != nil || v > maxRequests {
			return pollenlatch.ServerLoad{}, fmt.Errorf("%w: %q", errLoad, s)
		}
		*fields[n] = uint32(v)
		n++
	}
	if n < len(fields)-1 {
		return pollenlatch.ServerLoad{}, fmt.Errorf("%w: %q", errLoad, s)
	}
	if n == len(fields) {
		l.Slowness = min(max(l.Slowness, minSlowness), maxSlowness)
	}
	return l, nil
}
