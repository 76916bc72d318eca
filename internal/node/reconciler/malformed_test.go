package reconciler

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

// The response to an order, or a report, that violates HTTP tells nothing of the engine, nor does its head.
func TestMalformedResponseOfEngineIsNone(t *testing.T) {
	for name, text := range (rawhttp.Response{Fields: "Server-Leaving: 1\r\n", Body: `{"seq":7,"busy":false,"models":[]}`}).MalformedHeads() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Serve(listener, false, func(*http.Request) string { return text })
			r := &Reconciler{pool: upstreamconn.NewPool(func() {}), observeResponse: func(*fleet.Upstream, int, http.Header) { t.Error("the head was used") }}
			u := fleet.Upstream{ID: "e1", Address: listener.Addr().String()}
			_, _, err = r.roundTrip(t.Context(), u, upstreamconn.Request{Method: http.MethodGet, Target: platform.ReportPath})
			assert.Assert(t, err != nil)
			_, _, err = r.roundTrip(t.Context(), u, upstreamconn.Request{Method: http.MethodPost, Target: platform.OrderPath, Body: []byte("{}"), AtMostOnce: true})
			assert.Assert(t, err != nil)
		})
	}
}
