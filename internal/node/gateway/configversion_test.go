package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// applyNext puts the next version of the configuration in force, with the same routes.
func applyNext(h *harness) {
	next := *h.gateway.Config()
	next.Version++
	h.gateway.ApplyConfig(&next)
}

// An instance that is cut off from its upstreams has a newer configuration than the one that it forwards a request to, which has just
// started from an older copy of the store or has not learnt of it yet. The request was served by the older one.
func TestForwardedRequestIsNotServedByOlderConfiguration(t *testing.T) {
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	behind, peer, h := newHarness(t, sound), newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
	connectPeers(t, h, behind)
	applyNext(h)
	got := h.do(t, http.MethodPost, "/order/1", "body")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, sound.requestCount(), 0)
	applyNext(peer)
	connectPeers(t, h, behind, peer)
	got = h.do(t, http.MethodPost, "/order/1", "body")
	assert.Equal(t, got.status, http.StatusOK, "the next instance has the configuration")
	assert.Equal(t, sound.requestCount(), 1)
}

// The configuration comes into force while the request waits for it.
func TestForwardedRequestWaitsForConfiguration(t *testing.T) {
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	behind, h := newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
	connectPeers(t, h, behind)
	applyNext(h)
	time.AfterFunc(maxConfigWait/5, func() { applyNext(behind) })
	got := h.do(t, http.MethodPost, "/order/1", "body")
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// One instance has served a request by a newer configuration than the sender has. The next one of the same caller went to an
// instance with the older one, or was served by the sender itself by that.
func TestRequestAfterForwardedOneIsNotServedByOlderConfiguration(t *testing.T) {
	sound := startUpstream(t, "sound", respondWith(http.StatusOK, "answer"))
	ahead, behind, h := newHarness(t, sound), newHarness(t, sound), newHarness(t, closedUpstream(t, "gone"))
	applyNext(ahead)
	connectPeers(t, h, ahead)
	assert.Equal(t, h.do(t, http.MethodPost, "/order/1", "body").status, http.StatusOK)
	connectPeers(t, h, behind)
	got := h.do(t, http.MethodPost, "/order/1", "body")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, sound.requestCount(), 1)
	applyNext(h)
	applyNext(behind)
	assert.Equal(t, h.do(t, http.MethodPost, "/order/1", "body").status, http.StatusOK)
}
