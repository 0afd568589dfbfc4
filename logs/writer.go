// Package logs keeps log lines from holding up the work that they tell of: a
// Writer queues them and drops what a slow reader leaves no room for, and a
// Limit bounds the lines of one kind.
package logs

import (
	"fmt"
	"io"
	"sync"
)

// DefaultQueueBytes is the number of bytes that may wait for a reader: a second of
// lines at the bounds of all limits.
const DefaultQueueBytes = 256 << 10

// Writer passes lines on to Out from a goroutine of its own. Write never blocks.
// Use NewWriter.
type Writer struct {
	out  io.Writer
	most int

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []byte
	lost   int // lines dropped since the last notice
	total  uint64
	closed bool
	done   chan struct{}
}

// NewWriter returns a writer with room for so many bytes; 0 is DefaultQueue.
func NewWriter(out io.Writer, most int) *Writer {
	if most == 0 {
		most = DefaultQueueBytes
	}
	w := &Writer{out: out, most: most, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues one line. A line that finds no room is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queue)+len(line) > w.most {
		w.lost++
		w.total++
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.wake.Signal()
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close passes on what is queued and ends the goroutine. It waits for the
// reader; Done tells when that is over.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
}

// Done is closed when everything has been passed on after Close.
func (w *Writer) Done() <-chan struct{} { return w.done }

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.closed {
			w.wake.Wait()
		}
		if len(w.queue) == 0 {
			w.mu.Unlock()
			return
		}
		batch, w.queue = w.queue, batch[:0]
		lost := w.lost
		w.lost = 0
		w.mu.Unlock()
		_, _ = w.out.Write(batch) // nobody could be told of an error
		if lost > 0 {
			_, _ = fmt.Fprintf(w.out, "log lines dropped for a slow reader: %d\n", lost)
		}
	}
}
