package entry

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
)

// The engine needs a tenth of a second per token, so a thousand tokens can't arrive within the
// deadline of half a minute. A caller that declares the length of its answer is told so early.
func TestStreamThatWillMissItsDeadlineIsCancelledEarly(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, nil)
	upstream1.engine.Inject(engine.Fault{Kind: engine.FaultSlow, Factor: 100})
	answerTokens := header{httpapi.HeaderAnswerTokens, "1000"}
	got := e.do(http.MethodPost, chatPath, chatBody("hello", 1000, false), answerTokens, header{httpapi.HeaderDeadline, "30000"})
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	assert.Assert(t, got.failure(t).RetryAfterSeconds >= 1, got.body)
	assert.Equal(t, got.failure(t).Message, "The answer would not be whole before the deadline.")
	assert.Equal(t, upstream1.engine.Started(), 1)
	eventually(t, "the engine runs no request", func() bool { return upstream1.engine.Load().Running == 0 })
	assert.Equal(t, len(e.table.downUpstreams()), 0)
}

// Neither a correct nor a too small declared length cancels a stream that meets its deadline.
func TestStreamOnScheduleIsNotCancelled(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, nil)
	for i, tokens := range []string{"100", "1"} {
		content := fmt.Sprintf("hello %d", i)
		got := e.do(http.MethodPost, chatPath, chatBody(content, 100, false),
			header{httpapi.HeaderAnswerTokens, tokens}, header{httpapi.HeaderDeadline, "60000"})
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
}
