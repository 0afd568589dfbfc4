package stall

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// A stall that is not recorded cannot be told from a slow network.
func TestMonitor(t *testing.T) {
	set := metrics.NewSet()
	synctest.Test(t, func(t *testing.T) {
		m := New(set)
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		<-time.After(10*interval + interval/2)
		cancel()
		<-m.Done()
		require.False(t, m.record(logThreshold-1))
		require.True(t, m.record(logThreshold))
	})
	var out bytes.Buffer
	set.WritePrometheus(&out)
	require.Contains(t, out.String(), "pollenlatch_stall_seconds_count 12")
}
