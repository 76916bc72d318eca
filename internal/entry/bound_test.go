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

// The target's times for 95 in 100 requests.
const (
	boundFirstToken    = 890 * time.Millisecond
	boundBetweenTokens = 77 * time.Millisecond
)

// arrivals are the times at which a caller got the events of a stream.
type arrivals struct {
	first time.Duration
	gaps  []time.Duration
}

func (e *testEntry) arrivalsOf(t *testing.T, id string, tokens int) arrivals {
	t.Helper()
	var a arrivals
	start := time.Now()
	response, err := client.Do(request(http.MethodPost, e.url+chatPath, chatBody(id, tokens, true),
		header{httpapi.HeaderRequestID, id}, header{httpapi.HeaderDeadline, "60000"}))
	assert.NilError(t, err)
	defer response.Body.Close()
	var got streamed
	got.open(response.Body)
	last := start
	for !got.ended && got.failed == nil {
		before := got.last
		readStream(t, id, &got, got.last+1)
		if got.last == before {
			break
		}
		now := time.Now()
		if before == 0 {
			a.first = now.Sub(start)
		} else {
			a.gaps = append(a.gaps, now.Sub(last))
		}
		last = now
	}
	assert.Equal(t, got.last, tokens)
	return a
}

func quantile95(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)*95/100]
}

// Sixteen streams at a time over four engines with a step of 1 ms leave the bounds to the entry.
func TestBoundTimesOfTokens(t *testing.T) {
	const workers, streamsEach, tokens = 16, 10, 50
	e := startEntry(t, &sharedView{data: viewOf(startEngines(t, 4)...)}, nil, nil)
	var mu sync.Mutex
	var first, gaps []time.Duration
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := range streamsEach {
				a := e.arrivalsOf(t, "w"+itoa(w)+"-"+itoa(i), tokens)
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
