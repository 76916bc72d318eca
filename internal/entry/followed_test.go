package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
)

// The one place of the upstream is taken for a second and a half while many requests
// wait. Whoever comes back after a second finds the queue as long.
func TestMissedDeadlineSendsItsCallerBackByTheQueue(t *testing.T) {
	const waiting = 40
	one := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewOf(one)}, nil, func(s *Settings) {
		s.Upstreams.MaxInFlight = 1
		s.Queue.MaxWait = 2500 * time.Millisecond
	})
	ended := make(chan reply, 1)
	go func() {
		ended <- e.do(http.MethodPost, chatPath, chatBody("late", 100000, false), header{httpapi.HeaderDeadline, "1500"})
	}()
	eventually(t, "the place is taken", func() bool { return one.engine.Started() == 1 })
	var group sync.WaitGroup
	for i := range waiting {
		body := chatBody(fmt.Sprintf("waiting %d", i), 1000, false)
		group.Go(func() { e.do(http.MethodPost, chatPath, body, header{httpapi.HeaderDeadline, "600000"}) })
	}
	eventually(t, "the others wait", func() bool { return e.queued("tagger") == waiting })
	got := <-ended
	group.Wait()
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	assert.Assert(t, got.failure(t).RetryAfterSeconds >= 4, got.body)
}

// The engine takes a tenth of a second for a token, so a thousand of them can not arrive in
// half a minute. The caller that tells how long its answer is learns it early.
func TestStreamThatWillBeLateIsGivenUpEarly(t *testing.T) {
	one := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewOf(one)}, nil, nil)
	one.engine.Inject(engine.Fault{Kind: engine.FaultSlow, Factor: 100})
	told := header{httpapi.HeaderAnswerTokens, "1000"}
	got := e.do(http.MethodPost, chatPath, chatBody("hello", 1000, false), told, header{httpapi.HeaderDeadline, "30000"})
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	assert.Assert(t, got.failure(t).RetryAfterSeconds >= 1, got.body)
	assert.Equal(t, got.failure(t).Message, "The answer would not be whole before the deadline.")
	assert.Equal(t, one.engine.Started(), 1)
	eventually(t, "its place is free", func() bool { return one.engine.Load().Running == 0 })
	assert.Equal(t, len(e.table.down()), 0)
}

func TestStreamInTimeIsNotGivenUp(t *testing.T) {
	one := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewOf(one)}, nil, nil)
	for i, tokens := range []string{"100", "1"} {
		content := fmt.Sprintf("hello %d", i)
		got := e.do(http.MethodPost, chatPath, chatBody(content, 100, false),
			header{httpapi.HeaderAnswerTokens, tokens}, header{httpapi.HeaderDeadline, "60000"})
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
}
