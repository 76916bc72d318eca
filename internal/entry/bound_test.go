package entry

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
)

// The bounds of the 95th percentile that the service target sets.
const (
	boundFirstToken    = 890 * time.Millisecond
	boundBetweenTokens = 77 * time.Millisecond
)

// tokenTimes are the time to the first event of a stream and the times between later events, as
// its caller sees them.
type tokenTimes struct {
	first time.Duration
	gaps  []time.Duration
}

func (e *testEntry) measureStream(t *testing.T, id string, tokens int) tokenTimes {
	t.Helper()
	var a tokenTimes
	started := time.Now()
	response, err := client.Do(request(http.MethodPost, e.url+chatPath, chatBody(id, tokens, true),
		header{httpapi.HeaderRequestID, id}, header{httpapi.HeaderDeadline, "60000"}))
	assert.NilError(t, err)
	defer response.Body.Close()
	var got streamResult
	got.attach(response.Body)
	last := started
	for !got.complete && got.failure == nil {
		offsetBefore := got.lastOffset
		readStream(t, id, &got, got.lastOffset+1)
		if got.lastOffset == offsetBefore {
			break
		}
		now := time.Now()
		if offsetBefore == 0 {
			a.first = now.Sub(started)
		} else {
			a.gaps = append(a.gaps, now.Sub(last))
		}
		last = now
	}
	assert.Equal(t, got.lastOffset, tokens)
	return a
}

func quantile95(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)*95/100]
}

// Sixteen concurrent streams over four engines with a step of 1 ms. The engines are fast enough that
// the entry decides whether the bounds hold.
func TestBoundTimesOfTokens(t *testing.T) {
	const workers, streamsEach, tokens = 16, 10, 50
	e := startEntry(t, &sharedView{data: viewWithUpstreams(startEngines(t, 4)...)}, nil, nil)
	var mu sync.Mutex
	var first, gaps []time.Duration
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := range streamsEach {
				a := e.measureStream(t, "w"+itoa(w)+"-"+itoa(i), tokens)
				mu.Lock()
				first = append(first, a.first)
				gaps = append(gaps, a.gaps...)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	p95First, p95Gap := quantile95(first), quantile95(gaps)
	t.Logf("first token p95 %v, between tokens p95 %v", p95First, p95Gap)
	assert.Assert(t, p95First <= boundFirstToken, "first token %v", p95First)
	assert.Assert(t, p95Gap <= boundBetweenTokens, "between tokens %v", p95Gap)
}
