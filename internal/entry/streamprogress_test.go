package entry

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
)

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
	assert.Equal(t, len(e.table.downUpstreams()), 0)
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
