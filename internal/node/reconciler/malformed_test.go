package reconciler

import (
	"net"
	"net/http"
	"testing"
	"time"

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

// A response without a length that is reset is none, neither to an order nor as a report. One that ends in an orderly way is.
func TestUnframedResponseOfEngineIsOneOnlyAfterOrderlyEnd(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: `{"seq":7,"busy":false,"models":[]}`}).Unframed() {
		for endName, end := range map[string]rawhttp.End{"reset": rawhttp.ResetAfter(5 * time.Millisecond), "orderly": rawhttp.CloseThenResetAfter(5 * time.Millisecond)} {
			t.Run(name+" "+endName, func(t *testing.T) {
				listener, err := rawhttp.ListenEarly(t.Context())
				assert.NilError(t, err)
				t.Cleanup(func() { _ = listener.Close() })
				go rawhttp.Early{Respond: func(*http.Request) string { return text }, End: end}.Serve(listener)
				r := &Reconciler{pool: upstreamconn.NewPool(func() {}), observeResponse: func(*fleet.Upstream, int, http.Header) {}}
				u := fleet.Upstream{ID: "e1", Address: listener.Addr().String()}
				for _, request := range []upstreamconn.Request{
					{Method: http.MethodGet, Target: platform.ReportPath},
					{Method: http.MethodPost, Target: platform.OrderPath, Body: []byte("{}"), AtMostOnce: true},
					{Method: http.MethodPost, Target: platform.OrderPath, Body: make([]byte, 8<<20), AtMostOnce: true},
				} {
					_, _, err := r.roundTrip(t.Context(), u, request)
					assert.Equal(t, err == nil, endName == "orderly", "%s with %d bytes: %v", request.Method, len(request.Body), err)
				}
			})
		}
	}
}
