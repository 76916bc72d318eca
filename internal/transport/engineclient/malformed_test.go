package engineclient_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/transport/engineclient"
)

// A report, or the response to an order, that violates HTTP is none.
func TestMalformedResponseOfEngineFails(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: `{"boot":"b1"}`}).MalformedHeads() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Serve(listener, false, func(*http.Request) string { return text })
			upstream := bundle.Upstream{ID: "e", Address: listener.Addr().String()}
			session, err := engineclient.Dial(t.Context(), upstream, nil)
			assert.NilError(t, err)
			defer session.Close()
			_, err = session.Report(t.Context())
			assert.Assert(t, err != nil)
			session, err = engineclient.Dial(t.Context(), upstream, nil)
			assert.NilError(t, err)
			defer session.Close()
			assert.Assert(t, session.Send(t.Context(), newLoadOrder("", 1)) != nil)
		})
	}
}
