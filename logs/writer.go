// Package logs prevents logging from blocking or slowing down the process: a Writer
// queues lines and drops those that exceed the queue if the reader is slow, and a
// Limiter limits the rate of lines of one kind.
package logs

import (
	"fmt"
	"io"
	"sync"
)

// DefaultQueueBytes is the default size of the queue. It holds the lines of one
// second when every limiter is at its limit.
const DefaultQueueBytes = 256 << 10

// Writer writes lines to another writer from its own goroutine, so that Write never
// blocks. NewWriter creates it.
type Writer struct {
	out           io.Writer
	maxQueueBytes int

	mu         sync.Mutex
	wake       *sync.Cond
	queue      []byte
	unreported int    // lines dropped since the last notice
	dropped    uint64 // lines dropped since the start
	closed     bool
	done       chan struct{}
}

// NewWriter returns a Writer that queues up to maxQueueBytes for out; 0 is
// DefaultQueueBytes.
func NewWriter(out io.Writer, maxQueueBytes int) *Writer {
	if maxQueueBytes == 0 {
		maxQueueBytes = DefaultQueueBytes
	}
	w := &Writer{out: out, maxQueueBytes: maxQueueBytes, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues one line. If the queue is full, it drops and counts the line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queue)+len(line) > w.maxQueueBytes {
		w.unreported++
		w.dropped++
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
	return w.dropped
}

// Close stops accepting lines and returns at once. The goroutine writes the queued
// lines, which may block on the reader, and then stops; see Done.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
}

// Done is closed when all queued lines have been written after Close.
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
		unreported := w.unreported
		w.unreported = 0
		w.mu.Unlock()
		_, _ = w.out.Write(batch) // there is nowhere to report an error
		if unreported > 0 {
			_, _ = fmt.Fprintf(w.out, "log lines dropped for a slow reader: %d\n", unreported)
		}
	}
}
