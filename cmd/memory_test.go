package cmd

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// The heap limit must follow the memory setting: a process that uses more memory
// than its settings allow is killed.
func TestLimitMemory(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	for maxMB, want := range map[uint32]int64{0: math.MaxInt64, 100: 80 << 20} {
		debug.SetMemoryLimit(math.MaxInt64)
		limitMemory(maxMB)
		require.Equal(t, want, debug.SetMemoryLimit(-1), "%d MB", maxMB)
	}
}
