package upstreamhttp

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// uploadEarly sends a body that is longer than what the socket buffers hold to an upstream that responds early, without
// a length.
func uploadEarly(t *testing.T, end rawhttp.End) (string, error) {
	t.Helper()
	listener, err := rawhttp.ListenEarly(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go rawhttp.Early{End: end, Respond: func(*http.Request) string { return (rawhttp.Response{Body: "body"}).Unframed()["no length"] }}.Serve(listener)
	response, _, err := newTestClient(t, ProtocolHTTP1).Do(t.Context(), Request{
		Method: http.MethodPost, Address: listener.Addr().String(), Path: "/", Header: http.Header{}, Body: make([]byte, 8<<20), AtMostOnce: true,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	for range 10 {
		body, err := uploadEarly(t, rawhttp.ResetAfter(20*time.Millisecond))
		assert.Assert(t, err != nil, "%q looks complete", body)
	}
}

func TestEarlyResponseWithOrderlyEndIsComplete(t *testing.T) {
	for range 10 {
		body, err := uploadEarly(t, rawhttp.CloseThenResetAfter(20*time.Millisecond))
		assert.NilError(t, err)
		assert.Equal(t, body, "body")
	}
}
