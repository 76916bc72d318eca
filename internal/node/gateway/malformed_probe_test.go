package gateway

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
	"savoryweir/internal/state/fleet"
)

// isGoneAfterProbe reports whether an upstream that answers the probe after a broken connection with a text counts as
// crashed.
func isGoneAfterProbe(t *testing.T, text string) bool {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go rawhttp.Serve(listener, false, func(*http.Request) string { return text })
	h := newHarness(t, startUpstream(t, "sound", respondWith(http.StatusOK, "good")))
	return h.gateway.isGone(&fleet.Upstream{ID: "u1", Address: listener.Addr().String()})
}

// An upstream that answers runs, however broken its answer is. If it counted as crashed, the parts of the prompts that
// it got would be blocked at sound upstreams too.
func TestUpstreamWithMalformedProbeResponseHasNotCrashed(t *testing.T) {
	responses := rawhttp.Response{Body: "{}"}.MalformedHeads()
	responses["no response"] = "\x00garbage"
	for name, text := range responses {
		t.Run(name, func(t *testing.T) { assert.Assert(t, !isGoneAfterProbe(t, text)) })
	}
}

func TestUpstreamThatBreaksOffProbeResponseHasCrashed(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: "{}"}).CutHeads() {
		t.Run(name, func(t *testing.T) { assert.Assert(t, isGoneAfterProbe(t, text)) })
	}
}
