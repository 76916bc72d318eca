package ctl

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// The state of an instance is not taken from a response that violates HTTP.
func TestMalformedResponseOfInstanceFails(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: "{}"}).MalformedHeads() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Serve(listener, false, func(*http.Request) string { return text })
			env := NewEnvironment(t.Context())
			_, err = fetchOne(env, listener.Addr().String(), "/status", 1<<10, func(r io.Reader) ([]byte, error) { return io.ReadAll(r) })
			assert.Assert(t, err != nil)
		})
	}
}
