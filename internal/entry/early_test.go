package entry

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/rawhttp"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/order"
)

// A service that answers an order before it has read it, ends its answer in an orderly way and turns the rest away has
// run the order. net/http took the error of the write for the result.
func TestEarlyAnswerOfServiceToOrderReachesCaller(t *testing.T) {
	const orderBytes = 8 << 20
	for name := range (rawhttp.Response{}).Framed() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := rawhttp.ListenEarly(t.Context())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Early{End: rawhttp.CloseThenResetAfter(0), Respond: func(r *http.Request) string {
				id := r.Header.Get(httpapi.HeaderRequestID)
				return rawhttp.Response{Fields: httpapi.HeaderRequestID + ": " + id + "\r\n", Body: "early"}.Framed()[name]
			}}.Serve(listener)
			upstream := &testUpstream{id: bundle.UpstreamID("s1"), address: listener.Addr().String()}
			e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream)}, newMemoryClaims(), func(s *Settings) { s.Callers.MaxBodyBytes = orderBytes })
			for _, key := range []string{"k1", "k2", "k3"} {
				got := e.do(http.MethodPost, "/services/booking/orders/new", strings.Repeat("x", orderBytes), header{httpapi.HeaderIdempotencyKey, key})
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, got.body, "early")
				assert.Equal(t, got.header.Get(httpapi.HeaderOutcome), string(order.OutcomeRan))
			}
		})
	}
}
