package front

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Labels that follow what callers or other daemons send fill the memory.
func TestMeterBounds(t *testing.T) {
	set := metrics.NewSet()
	m := newMeter(set, func() float64 { return 0 })
	for i := range 2 * maxServices {
		m.answer(fmt.Sprintf("s%d", i), pollenlatch.OutcomeRan, "", time.Millisecond)
		m.answer("s0", pollenlatch.OutcomeNotRun, pollenlatch.Reason(fmt.Sprintf("r%d", i)), time.Millisecond)
	}
	require.Len(t, m.times, maxServices+1)
	require.LessOrEqual(t, len(m.counters), maxServices+2)
	var b bytes.Buffer
	set.WritePrometheus(&b)
	require.Contains(t, b.String(), `pollenlatch_front_answers_total{service="other",outcome="run",reason=""} 256`)
	require.Contains(t, b.String(), `pollenlatch_front_answers_total{service="s0",outcome="not-run",reason="other"} 512`)
}
