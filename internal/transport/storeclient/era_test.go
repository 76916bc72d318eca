package storeclient_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/platform"
)

func TestVersionsCarryEraOfStore(t *testing.T) {
	store, client := startStore(t, objectapi.Limits{})
	ctx := t.Context()
	v1, err := client.Create(ctx, kind, "a", []byte("one"))
	assert.NilError(t, err)
	assert.Equal(t, v1.Era(), object.Era(0))
	backup := store.Backup()
	v2, err := client.Update(ctx, kind, "a", []byte("two"), v1)
	assert.NilError(t, err)
	store.Restore(backup)
	o, err := client.Get(ctx, kind, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Data), "one")
	assert.Assert(t, o.Version > v2, "the version of the new era is newer")
	assert.Equal(t, client.Era(), object.Era(1))
	list, at, err := client.ListAt(ctx, kind)
	assert.NilError(t, err)
	assert.Equal(t, list[0].Version, o.Version)
	assert.Equal(t, at.Era(), object.Era(1))
	v3, err := client.Update(ctx, kind, "a", []byte("three"), o.Version)
	assert.NilError(t, err)
	events, next, err := client.WatchSince(ctx, kind, o.Version, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, events[0].Object.Version, v3)
	assert.Equal(t, next.Era(), object.Era(1))
}

func TestWatchFromRevisionThatCopyLacksReportsHistoryGone(t *testing.T) {
	store, client := startStore(t, objectapi.Limits{})
	_, err := client.Create(t.Context(), kind, "kept", []byte("one"))
	assert.NilError(t, err)
	backup := store.Backup()
	v, err := client.Create(t.Context(), kind, "a", []byte("one"))
	assert.NilError(t, err)
	store.Restore(backup)
	_, _, err = client.WatchSince(t.Context(), kind, v, time.Second)
	assert.ErrorIs(t, err, object.ErrHistoryGone)
}

// eraServer answers every call as the given era.
func eraServer(t *testing.T, era *object.Era, body func(r *http.Request) string) *storeclient.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platform.EncodeStoreEra(w.Header(), *era)
		_, _ = io.WriteString(w, body(r))
	}))
	t.Cleanup(server.Close)
	return newClient(t, storeclient.Settings{URL: server.URL, Timeout: 5 * time.Second})
}

// A response of an earlier era that arrives late describes what the store no longer has. A
// write that it confirms may be lost.
func TestResponseOfEarlierEraIsRejected(t *testing.T) {
	era := object.Era(2)
	client := eraServer(t, &era, func(*http.Request) string { return `{"metadata":{"name":"a","revision":7},"spec":1}` })
	_, err := client.Get(t.Context(), kind, "a")
	assert.NilError(t, err)
	era = 1
	_, err = client.Get(t.Context(), kind, "a")
	assert.ErrorIs(t, err, object.ErrUnavailable)
	_, err = client.Create(t.Context(), kind, "a", []byte("1"))
	assert.ErrorIs(t, err, object.ErrOutcomeUnknown)
	era = 3
	client.ObserveEra(4) // another instance has seen it
	_, err = client.Get(t.Context(), kind, "a")
	assert.ErrorIs(t, err, object.ErrUnavailable)
	assert.Equal(t, client.Era(), object.Era(4))
}

func TestListAcrossErasFails(t *testing.T) {
	era := object.Era(1)
	client := eraServer(t, &era, func(r *http.Request) string {
		more := r.URL.Query().Get("after") == ""
		if !more {
			return `{"items":[],"morePages":false,"storeRevision":5}`
		}
		defer func() { era = 2 }()
		return fmt.Sprintf(`{"items":[{"metadata":{"name":"a","revision":7},"spec":1}],"morePages":%v,"storeRevision":9}`, more)
	})
	_, _, err := client.ListAt(t.Context(), kind)
	assert.ErrorIs(t, err, object.ErrUnavailable)
}

func TestAwaitEraAfterReturnsWhenEraRises(t *testing.T) {
	_, client := startStore(t, objectapi.Limits{})
	result := make(chan bool, 1)
	go func() { result <- client.AwaitEraAfter(t.Context(), 0) }()
	client.ObserveEra(1)
	assert.Assert(t, <-result)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !client.AwaitEraAfter(ctx, 1))
}
