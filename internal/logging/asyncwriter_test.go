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

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func TestAReaderThatStopsCostsLinesOnly(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	b := NewAsyncWriter(w)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); b.Run(done) }()
	log := NewAsync(b, Settings{Level: "info"}, "node", "i1", "z")
	began := time.Now()
	for range 5000 {
		log.Info().Msg("ordinary")
	}
	for range 500 {
		log.Warn().Msg("refused")
	}
	assert.Assert(t, time.Since(began) < 2*time.Second, "logging waited for its reader")
	assert.Assert(t, b.Dropped() > 0)
	close(w.release)
	close(done)
	<-ended
	assert.Equal(t, strings.Count(w.got.String(), `"refused"`), 500, "lines of refused requests are dropped last")
	assert.Assert(t, strings.Count(w.got.String(), `"ordinary"`) <= plainLinesPerSecond*2)
}

func TestLinesComeWholeAndInLevels(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	close(w.release)
	b := NewAsyncWriter(w)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); b.Run(done) }()
	log := WithComponent(NewAsync(b, Settings{Level: "warn"}, "node", "i1", "z"), "gateway")
	log.Info().Msg("hidden")
	log.WithLevel(zerolog.WarnLevel).Str("request", "r1").Msg("told")
	close(done)
	<-ended
	assert.Assert(t, !strings.Contains(w.got.String(), "hidden"))
	assert.Assert(t, strings.Contains(w.got.String(), `"part":"gateway","request":"r1"`), w.got.String())
}
