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

// Without a limit on label values, callers and other daemons could create any
// number of time series and exhaust the memory.
func TestMetricLabelsAreLimited(t *testing.T) {
	set := metrics.NewSet()
	m := newResponseMetrics(set, func() float64 { return 0 })
	for i := range 2 * maxServiceLabels {
		m.record(fmt.Sprintf("s%d", i), pollenlatch.OutcomeRan, "", time.Millisecond)
		m.record("s0", pollenlatch.OutcomeNotRun, pollenlatch.Reason(fmt.Sprintf("r%d", i)), time.Millisecond)
	}
	require.Len(t, m.durations, maxServiceLabels+1)
	require.LessOrEqual(t, len(m.counters), maxServiceLabels+2)
	var b bytes.Buffer
	set.WritePrometheus(&b)
	require.Contains(t, b.String(), `pollenlatch_front_answers_total{service="other",outcome="run",reason=""} 256`)
	require.Contains(t, b.String(), `pollenlatch_front_answers_total{service="s0",outcome="not-run",reason="other"} 512`)
}
