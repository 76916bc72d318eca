package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/internal/queue"
)

// AsyncWriter writes lines to a slow or stuck writer without ever blocking its
// callers. Lines of level warn and above have a ring of their own, so that the
// lines of refused and failed requests are the last that are left out.
type AsyncWriter struct {
	to      io.Writer
	plain   *queue.Queue[[]byte]
	urgent  *queue.Queue[[]byte]
	limit   int // plain lines in a second
	dropped atomic.Uint64

	mu     sync.Mutex // guards the two below
	second int64
	lines  int
}

const (
	// ringLines bounds the lines that wait for the writer: about half a megabyte.
	ringLines = 1024
	// plainLinesPerSecond bounds the processor time that lines of ordinary
	// requests may take at several times the usual load of an instance.
	plainLinesPerSecond = 200
)

// NewAsyncWriter returns a writer whose Run must be started.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	return &AsyncWriter{to: to, plain: queue.New[[]byte](ringLines), urgent: queue.New[[]byte](ringLines), limit: plainLinesPerSecond}
}

// LowSeverity returns the writer for lines below level warn.
func (b *AsyncWriter) LowSeverity() io.Writer { return lineWriter(b.writePlain) }

// HighSeverity returns the writer for lines of level warn and above.
func (b *AsyncWriter) HighSeverity() io.Writer { return lineWriter(b.writeUrgent) }

type lineWriter func([]byte) (int, error)

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) { return w(p) }

func (b *AsyncWriter) writePlain(p []byte) (int, error) {
	if !b.allow(time.Now().Unix()) || !b.plain.Offer(append([]byte(nil), p...)) {
		b.dropped.Add(1)
	}
	return len(p), nil
}

func (b *AsyncWriter) writeUrgent(p []byte) (int, error) {
	if !b.urgent.Offer(append([]byte(nil), p...)) {
		b.dropped.Add(1)
	}
	return len(p), nil
}

func (b *AsyncWriter) allow(second int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second != b.second {
		b.second, b.lines = second, 0
	}
	b.lines++
	return b.lines <= b.limit
}

// Dropped returns how many lines were left out.
func (b *AsyncWriter) Dropped() uint64 { return b.dropped.Load() }

// Run writes lines until done is closed, then those that wait. A writer that
// stops taking lines holds up this goroutine only.
func (b *AsyncWriter) Run(done <-chan struct{}) {
	for {
		select {
		case line := <-b.urgent.C():
			b.write(line)
		case line := <-b.plain.C():
			b.write(line)
		case <-done:
			b.flush()
			return
		}
	}
}

func (b *AsyncWriter) flush() {
	for _, line := range append(b.urgent.Drain(ringLines), b.plain.Drain(ringLines)...) {
		b.write(line)
	}
}

// write joins the lines that wait into one write, which saves system calls.
func (b *AsyncWriter) write(line []byte) {
	for _, more := range append(b.urgent.Drain(ringLines), b.plain.Drain(ringLines)...) {
		line = append(line, more...)
	}
	if _, err := b.to.Write(line); err != nil {
		b.dropped.Add(1) // there is nowhere else to tell it
	}
}
