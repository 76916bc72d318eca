package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/internal/queue"
)

// AsyncWriter writes log lines to a slow or blocked writer without ever blocking the callers
// that log. It drops lines instead. Lines of level warn and above have a queue of their own
// and no rate limit, so that lines about rejected and failed requests are dropped last.
type AsyncWriter struct {
	out              io.Writer
	lowSeverity      *queue.Queue[[]byte]
	highSeverity     *queue.Queue[[]byte]
	lowSeverityLimit int // low-severity lines per second
	dropped          atomic.Uint64

	mu     sync.Mutex // guards second and lines
	second int64      // current second in Unix time
	lines  int        // low-severity lines in the current second
}

const (
	// queueLines is the capacity of each queue; 1024 lines are about half a megabyte.
	queueLines = 1024
	// lowSeverityLinesPerSecond limits the CPU time spent on lines about ordinary requests
	// when the load is several times the usual load of an instance.
	lowSeverityLinesPerSecond = 200
)

// NewAsyncWriter returns a writer to out. The caller must start Run in a goroutine of its own.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lowSeverity: queue.New[[]byte](queueLines), highSeverity: queue.New[[]byte](queueLines), lowSeverityLimit: lowSeverityLinesPerSecond}
}

// LowSeverity returns the writer for lines below level warn.
func (w *AsyncWriter) LowSeverity() io.Writer { return lineWriter(w.writeLowSeverity) }

// HighSeverity returns the writer for lines of level warn and above.
func (w *AsyncWriter) HighSeverity() io.Writer { return lineWriter(w.writeHighSeverity) }

// lineWriter adapts a function to io.Writer.
type lineWriter func([]byte) (int, error)

// Write implements io.Writer.
func (w lineWriter) Write(line []byte) (int, error) { return w(line) }

func (w *AsyncWriter) writeLowSeverity(line []byte) (int, error) {
	if !w.allow(time.Now().Unix()) || !w.lowSeverity.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) writeHighSeverity(line []byte) (int, error) {
	if !w.highSeverity.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether another low-severity line may be written in the given second.
func (w *AsyncWriter) allow(second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.lines = second, 0
	}
	w.lines++
	return w.lines <= w.lowSeverityLimit
}

// Dropped returns the number of lines that were dropped, and of failed writes.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes queued lines until done is closed, then writes the lines that are still
// queued and returns. A blocked out blocks only the goroutine of Run.
func (w *AsyncWriter) Run(done <-chan struct{}) {
	for {
		select {
		case line := <-w.highSeverity.C():
			w.write(line)
		case line := <-w.lowSeverity.C():
			w.write(line)
		case <-done:
			w.flush()
			return
		}
	}
}

// flush writes all lines that are queued.
func (w *AsyncWriter) flush() {
	for _, line := range append(w.highSeverity.Drain(queueLines), w.lowSeverity.Drain(queueLines)...) {
		w.write(line)
	}
}

// write combines line and all queued lines in one write, which saves system calls.
func (w *AsyncWriter) write(line []byte) {
	for _, next := range append(w.highSeverity.Drain(queueLines), w.lowSeverity.Drain(queueLines)...) {
		line = append(line, next...)
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // the failure can't be logged, as the log itself failed
	}
}
