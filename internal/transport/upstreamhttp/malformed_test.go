package upstreamhttp

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// startRaw starts an upstream that responds to all requests with a text and keeps its connections open.
func startRaw(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go rawhttp.Serve(listener, true, func(*http.Request) string { return text })
	return listener.Addr().String()
}

// A request whose response is malformed may have run. The connection carries no further request, also where the
// response has no body, so that net/http takes it back at once.
func TestMalformedResponseFailsAsSentAndItsConnectionIsNotUsedAgain(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: "evil"}).MalformedHeads() {
		t.Run(name, func(t *testing.T) {
			client, address := newTestClient(t, ProtocolHTTP1), startRaw(t, text)
			for range 3 {
				tracker, err := send(t, client, address, []byte("order"))
				assert.Assert(t, err != nil)
				assert.Assert(t, tracker.MaybeSent())
			}
		})
	}
}

// An upstream that stops within the head and closes the connection has sent no response.
func TestResponseCutWithinHeadFailsAsSent(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: "evil"}).CutHeads() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Serve(listener, false, func(*http.Request) string { return text })
			client, address := newTestClient(t, ProtocolHTTP1), listener.Addr().String()
			tracker, err := send(t, client, address, []byte("order"))
			assert.Assert(t, err != nil)
			assert.Assert(t, tracker.MaybeSent())
			assert.Assert(t, client.Probe(t.Context(), address) != nil)
		})
	}
}

func TestBodyWithMalformedEndIsIncomplete(t *testing.T) {
	ends := rawhttp.Response{Body: "evil"}.InvalidTrailers()
	maps.Copy(ends, rawhttp.Response{Body: "evil"}.InvalidChunkLines())
	for name, text := range ends {
		t.Run(name, func(t *testing.T) {
			address := startRaw(t, text)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second) // a cut body ends then
			defer cancel()
			response, _, err := newTestClient(t, ProtocolHTTP1).Do(ctx, Request{Method: http.MethodGet, Address: address, Path: "/", Header: http.Header{}})
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			assert.Assert(t, err != nil)
			assert.NilError(t, response.Body.Close())
		})
	}
}

// A probe whose response has no valid status passed, as only statuses from 500 on failed.
func TestMalformedResponseFailsProbeAndSentinel(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: "ok"}).MalformedHeads() {
		t.Run(name, func(t *testing.T) {
			client, address := newTestClient(t, ProtocolHTTP1), startRaw(t, text)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			assert.Assert(t, client.Probe(ctx, address) != nil)
			sentinel, err := client.OpenSentinel(ctx, address)
			if err == nil {
				sentinel.Close()
			}
			assert.Assert(t, err != nil)
		})
	}
}

// HTTP/2 has no status line, but the status is any number as well.
func TestInvalidStatusOverHTTP2Fails(t *testing.T) {
	for _, status := range []int{600, 999} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		tracker, err := send(t, newTestClient(t, ProtocolH2C), listener.Addr().String(), []byte("order"))
		assert.Assert(t, err != nil, "status %d", status)
		assert.Assert(t, tracker.MaybeSent())
	}
}

func TestResponseWithInformationalHeadIsRead(t *testing.T) {
	sound := rawhttp.Response{Body: "ok"}.Sound()
	address := startRaw(t, "HTTP/1.1 103 X\r\nLink: a\r\n\r\n"+sound)
	client := newTestClient(t, ProtocolHTTP1)
	for range 2 {
		assert.NilError(t, get(client, address, "/"))
	}
}
