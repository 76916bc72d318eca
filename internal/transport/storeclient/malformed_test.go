package storeclient_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/storeclient"
)

// A response that violates HTTP, or ends within its head, tells nothing: a read fails, the outcome of a write is
// unknown, and no era is taken from it, as all later responses would be older.
func TestMalformedResponseOfStoreTellsNothing(t *testing.T) {
	sound := rawhttp.Response{Fields: "Store-Era: 7\r\n", Body: `{"metadata":{"name":"a","revision":9},"items":[],"storeRevision":9}`}
	responses := sound.MalformedHeads()
	maps.Copy(responses, sound.CutHeads())
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			client := startRaw(t, text)
			_, _, err := client.ListAt(t.Context(), kind)
			assert.ErrorIs(t, err, object.ErrUnavailable)
			_, _, err = client.WatchSince(t.Context(), kind, 0, time.Second)
			assert.ErrorIs(t, err, object.ErrUnavailable)
			_, err = client.Create(t.Context(), kind, "a", []byte("one"))
			assert.ErrorIs(t, err, object.ErrOutcomeUnknown)
			assert.Equal(t, client.Era(), object.Era(0))
		})
	}
}

// A refusal states that nothing was done, which a malformed one does not.
func TestMalformedRefusalOfStoreLeavesOutcomeUnknown(t *testing.T) {
	client := startRaw(t, rawhttp.Response{Fields: "X Note: a\r\n"}.WithStatus("503"))
	_, err := client.Create(t.Context(), kind, "a", []byte("one"))
	assert.ErrorIs(t, err, object.ErrOutcomeUnknown)
}

// A response without a length that is reset tells nothing, though all that has arrived can be read. One that ends in an
// orderly way does.
func TestUnframedResponseOfStoreTellsOnlyAfterOrderlyEnd(t *testing.T) {
	text := rawhttp.Response{Fields: "Store-Era: 7\r\n", Body: `{"metadata":{"name":"a","revision":9},"items":[],"storeRevision":9}`}.Unframed()["no length"]
	for name, end := range map[string]rawhttp.End{"reset": rawhttp.ResetAfter(5 * time.Millisecond), "orderly": rawhttp.CloseThenResetAfter(5 * time.Millisecond)} {
		t.Run(name, func(t *testing.T) {
			listener, err := rawhttp.ListenEarly(t.Context())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Early{Respond: func(*http.Request) string { return text }, End: end}.Serve(listener)
			client := newClient(t, storeclient.Settings{URL: fmt.Sprint("http://", listener.Addr()), Timeout: 2 * time.Second})
			_, _, listErr := client.ListAt(t.Context(), kind)
			_, _, watchErr := client.WatchSince(t.Context(), kind, 0, time.Second)
			_, createErr := client.Create(t.Context(), kind, "a", bytes.Repeat([]byte("x"), object.MaxSizeBytes))
			if name == "orderly" {
				assert.NilError(t, errors.Join(listErr, watchErr, createErr))
				return
			}
			assert.ErrorIs(t, listErr, object.ErrUnavailable)
			assert.ErrorIs(t, watchErr, object.ErrUnavailable)
			assert.ErrorIs(t, createErr, object.ErrOutcomeUnknown)
		})
	}
}

// startRaw returns the client of a store that responds to all requests with a text.
func startRaw(t *testing.T, text string) *storeclient.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go rawhttp.Serve(listener, false, func(*http.Request) string { return text })
	return newClient(t, storeclient.Settings{URL: fmt.Sprint("http://", listener.Addr()), Timeout: 2 * time.Second})
}
