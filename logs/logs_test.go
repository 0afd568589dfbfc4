package logs

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a writer that blocks until resume is closed.
type blockedWriter struct {
	bytes.Buffer
	resume chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.resume
	return w.Buffer.Write(b)
}

// When the reader of standard output stalls, Write must drop lines instead of blocking.
func TestWriteDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{resume: make(chan struct{})}
		w := NewWriter(out, 100)
		line := []byte(strings.Repeat("x", 9) + "\n")
		start := time.Now()
		for range 1000 {
			n, err := w.Write(line)
			require.NoError(t, err)
			require.Equal(t, len(line), n)
		}
		require.Zero(t, time.Since(start))
		synctest.Wait()
		require.GreaterOrEqual(t, w.Dropped(), uint64(1000-20), "more lines are queued than fit")
		close(out.resume)
		w.Close()
		<-w.Done()
		require.Contains(t, out.String(), "log lines dropped for a slow reader: ")
		require.EqualValues(t, 1000, uint64(strings.Count(out.String(), string(line)))+w.Dropped())
	})
}

func TestWriter(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 0)
	for _, s := range []string{"a\n", "b\n"} {
		_, _ = w.Write([]byte(s))
	}
	w.Close()
	<-w.Done()
	require.Equal(t, "a\nb\n", out.String())
	_, _ = w.Write([]byte("c\n"))
	require.EqualValues(t, 1, w.Dropped(), "a line after Close must be counted as dropped")
}

// Lines of one kind must stay within their rate, and suppressed lines be counted.
func TestLimiter(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLimiter(2, 3)
	for range 3 {
		suppressed, ok := l.Allow(now)
		require.True(t, ok)
		require.Zero(t, suppressed)
	}
	for range 5 {
		_, ok := l.Allow(now)
		require.False(t, ok)
	}
	suppressed, ok := l.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.EqualValues(t, 5, suppressed)
	_, ok = l.Allow(now) // a clock that steps back must not add to the allowance
	require.True(t, ok)
	_, ok = l.Allow(now)
	require.False(t, ok)
	var zero Limiter
	_, ok = zero.Allow(now)
	require.False(t, ok)
}

func BenchmarkWrite(b *testing.B) {
	w := NewWriter(&discardWriter{}, 0)
	line := []byte(strings.Repeat("x", 300) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
	w.Close()
	<-w.Done()
}

type discardWriter struct{}

func (*discardWriter) Write(b []byte) (int, error) { return len(b), nil }
