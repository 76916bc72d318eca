package storeclient_test

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/certs"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/internal/transport/tlsconf"
)

const kind object.Kind = "things"

// startStore serves an in-memory store and returns it with a client.
func startStore(t *testing.T, limits objectapi.Limits) (*objectapi.Memory, *storeclient.Client) {
	t.Helper()
	store := objectapi.New(time.Now, limits)
	server := httptest.NewServer(objectapi.Handler(store))
	t.Cleanup(server.Close)
	return store, newClient(t, storeclient.Settings{URL: server.URL, Timeout: 5 * time.Second})
}

func newClient(t *testing.T, s storeclient.Settings) *storeclient.Client {
	t.Helper()
	client, err := storeclient.New(s)
	assert.NilError(t, err)
	return client
}

func TestWriteWithOutdatedVersionConflicts(t *testing.T) {
	_, client := startStore(t, objectapi.Limits{})
	ctx := context.Background()
	v1, err := client.Create(ctx, kind, "a/b", []byte("one"))
	assert.NilError(t, err)
	_, err = client.Create(ctx, kind, "a/b", []byte("two"))
	assert.ErrorIs(t, err, object.ErrConflict)
	v2, err := client.Update(ctx, kind, "a/b", []byte("two"), v1)
	assert.NilError(t, err)
	_, err = client.Update(ctx, kind, "a/b", []byte("three"), v1)
	assert.ErrorIs(t, err, object.ErrConflict)
	o, err := client.Get(ctx, kind, "a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Data), "two")
	assert.Equal(t, o.Version, v2)
	assert.ErrorIs(t, client.Delete(ctx, kind, "a/b", v1), object.ErrConflict)
	assert.NilError(t, client.Delete(ctx, kind, "a/b", v2))
	_, err = client.Get(ctx, kind, "a/b")
	assert.ErrorIs(t, err, object.ErrNotFound)
}

// The store applies the write, but its response is lost. The client must not report that
// the write failed.
func TestWriteWithLostResponseHasUnknownOutcome(t *testing.T) {
	store, client := startStore(t, objectapi.Limits{})
	ctx := context.Background()
	store.SetFaults(objectapi.Faults{LoseAnswers: 1})
	_, err := client.Create(ctx, kind, "a", []byte("one"))
	assert.ErrorIs(t, err, object.ErrOutcomeUnknown)
	assert.Equal(t, store.Counts().Creates, uint64(1))
	o, err := client.Get(ctx, kind, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Data), "one")
}

func TestUnavailableAndThrottledWritesHaveNoEffect(t *testing.T) {
	store, client := startStore(t, objectapi.Limits{WritesPerSecond: 1})
	ctx := context.Background()
	store.SetFaults(objectapi.Faults{Outage: true})
	_, err := client.Create(ctx, kind, "a", nil)
	assert.ErrorIs(t, err, object.ErrUnavailable)
	store.SetFaults(objectapi.Faults{})
	var throttled bool
	for range 3 {
		_, err := client.Create(ctx, kind, "b", nil)
		throttled = throttled || errors.Is(err, object.ErrThrottled)
	}
	assert.Assert(t, throttled)
	_, err = client.Get(ctx, kind, "a")
	assert.ErrorIs(t, err, object.ErrNotFound)
}

func TestUnreachableStoreIsReportedAsUnavailable(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	client := newClient(t, storeclient.Settings{URL: server.URL, Timeout: time.Second})
	_, err := client.Create(context.Background(), kind, "a", nil)
	assert.ErrorIs(t, err, object.ErrUnavailable)
}

func TestWatchReturnsChangesInOrderThenNone(t *testing.T) {
	_, client := startStore(t, objectapi.Limits{})
	ctx := context.Background()
	v, err := client.Create(ctx, kind, "a", []byte("1"))
	assert.NilError(t, err)
	_, err = client.Update(ctx, kind, "a", []byte("2"), v)
	assert.NilError(t, err)
	events, next, err := client.Watch(ctx, kind, 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, string(events[1].Object.Data), "2")
	events, _, err = client.Watch(ctx, kind, next, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)
}

// startTLSStore serves a store over TLS with the given identity, which clients must
// present too. It returns the URL.
func startTLSStore(t *testing.T, own tlsconf.Settings) string {
	t.Helper()
	identity, err := tlsconf.NewSource(own)
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(objectapi.Handler(objectapi.New(time.Now, objectapi.Limits{})))
	server.TLS = identity.ServerConfig()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.URL
}

// newIdentity writes the files of a new identity and returns their settings.
func newIdentity(t *testing.T, serial int64) (tlsconf.Settings, certs.Files) {
	t.Helper()
	files := certs.In(t.TempDir())
	assert.NilError(t, files.Write(serial))
	return tlsconf.Settings{Certificate: files.Certificate, Key: files.Key, CA: files.Authority}, files
}

func TestTLSStoreRefusesClientsWithoutValidCertificate(t *testing.T) {
	own, files := newIdentity(t, 1)
	untrusted, _ := newIdentity(t, 2)
	url := startTLSStore(t, own)
	get := func(s tlsconf.Settings) error {
		client := newClient(t, storeclient.Settings{URL: url, Timeout: 5 * time.Second, TLS: s})
		_, err := client.Get(t.Context(), kind, "a")
		return err
	}
	assert.ErrorIs(t, get(own), object.ErrNotFound)
	assert.ErrorIs(t, get(untrusted), object.ErrUnavailable)
	assert.ErrorIs(t, get(tlsconf.Settings{CA: own.CA}), object.ErrUnavailable)
	assert.NilError(t, files.Write(3)) // both sides reload the certificate
	assert.ErrorIs(t, get(own), object.ErrNotFound)
}

func TestTLSFilesRequireHTTPSURL(t *testing.T) {
	own, _ := newIdentity(t, 1)
	_, err := storeclient.New(storeclient.Settings{URL: "http://127.0.0.1:1", TLS: own})
	assert.ErrorContains(t, err, "https://")
}

// Lists and watches that hold an entry which can't be decoded were asked for again and again.
func TestUnreadableEntryEndsNoListAndNoWatch(t *testing.T) {
	deep := strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)
	entry := func(meta string) string { return `{"metadata":` + meta + `,"spec":` + deep + `,"status":null}` }
	pages := map[string]string{
		"":  `{"items":[` + entry(`{"name":"a","revision":1}`) + `,` + entry(`{"revision":2}`) + `],"morePages":true,"storeRevision":7}`,
		"a": `{"items":[` + entry(`{"name":"b","revision":3}`) + `],"morePages":true,"storeRevision":7}`,
		"b": `{"items":[` + entry(`[]`) + `],"morePages":true,"storeRevision":7}`,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			_, _ = io.WriteString(w, `{"events":[{"deleted":true,"object":`+entry(`{"name":"a","revision":8}`)+`},{"object":7}],"storeRevision":9}`)
			return
		}
		_, _ = io.WriteString(w, pages[r.URL.Query().Get("after")])
	}))
	t.Cleanup(server.Close)
	client := newClient(t, storeclient.Settings{URL: server.URL, Timeout: 5 * time.Second})
	unreadable := 0
	client.OnUnreadable(func(_ object.Kind, count int) { unreadable += count })
	objects, version, err := client.ListAt(t.Context(), kind)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 2)
	assert.Equal(t, unreadable, 2)
	events, next, err := client.WatchSince(t.Context(), kind, version, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, len(events) == 1 && events[0].Deleted && events[0].Object.Name == "a")
	assert.Equal(t, next.Revision().Number(), uint64(9))
	assert.Equal(t, unreadable, 3)
}
