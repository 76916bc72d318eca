package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks each write until it is released.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	written  bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

// When the reader of the process's output stops reading, writes to it block. Requests must
// then not wait for their log lines, and the lines about rejected requests must be kept.
func TestBlockedOutputDropsLowSeverityLinesWithoutBlockingCallers(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	w := NewAsyncWriter(out)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); w.Run(done) }()
	log := NewAsync(w, Settings{Level: "info"}, "node", "i1", "z")
	startedAt := time.Now()
	for range 5000 {
		log.Info().Msg("ordinary")
	}
	for range 500 {
		log.Warn().Msg("refused")
	}
	assert.Assert(t, time.Since(startedAt) < 2*time.Second, "logging blocked on the output")
	assert.Assert(t, w.Dropped() > 0)
	close(out.released)
	close(done)
	<-ended
	assert.Equal(t, strings.Count(out.written.String(), `"refused"`), 500, "high-severity lines are dropped last")
	assert.Assert(t, strings.Count(out.written.String(), `"ordinary"`) <= lowSeverityLinesPerSecond*2)
}

// A logger must leave out lines below its level and add its component to the others.
func TestLevelAndComponentApplyToWrittenLines(t *testing.T) {
	out := &blockedWriter{released: make(chan struct{})}
	close(out.released)
	w := NewAsyncWriter(out)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); w.Run(done) }()
	log := WithComponent(NewAsync(w, Settings{Level: "warn"}, "node", "i1", "z"), "gateway")
	log.Info().Msg("hidden")
	log.WithLevel(zerolog.WarnLevel).Str("request", "r1").Msg("written")
	close(done)
	<-ended
	assert.Assert(t, !strings.Contains(out.written.String(), "hidden"))
	assert.Assert(t, strings.Contains(out.written.String(), `"part":"gateway","request":"r1"`), out.written.String())
}
