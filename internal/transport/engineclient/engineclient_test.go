package engineclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/certs"
	"savoryweir/internal/standin/residency"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/ledger"
	"savoryweir/internal/transport/engineclient"
	"savoryweir/internal/transport/tlsconf"
)

func start(t *testing.T) (*residency.Engine, *httptest.Server, *engineclient.Session) {
	t.Helper()
	store := weights.New(weights.Limits{LoadsPerSecond: 1, AtOnce: 1, AdapterTime: time.Millisecond, AdaptersInTransit: 1})
	engine := residency.New(residency.Config{Name: "e", CapacityMiB: 100}, store, time.Now())
	server := httptest.NewServer(residency.Handler(engine))
	t.Cleanup(server.Close)
	session, err := engineclient.Dial(context.Background(), bundle.Upstream{ID: "e", Address: server.Listener.Addr().String()}, nil)
	assert.NilError(t, err)
	t.Cleanup(session.Close)
	return engine, server, session
}

func load(boot string, fence ledger.Fence) ledger.Order {
	return ledger.Order{Engine: "e", Boot: boot, Action: ledger.Load, Slot: ledger.Slot{Model: "m", Version: "1"}, Memory: 10, Fence: fence}
}

func TestOrderShowsInTheNextReport(t *testing.T) {
	_, _, session := start(t)
	ctx := context.Background()
	report, err := session.Report(ctx)
	assert.NilError(t, err)
	order := load(report.Boot, 3)
	assert.NilError(t, session.Send(ctx, order))
	report, err = session.Report(ctx)
	assert.NilError(t, err)
	assert.Equal(t, report.Fence, ledger.Fence(3))
	assert.DeepEqual(t, report.Handled, []string{order.ID()})
	assert.DeepEqual(t, report.Residents, []ledger.Resident{{Slot: order.Slot, Memory: 10}})
}

func TestOrderForAnotherBootIsNotSent(t *testing.T) {
	engine, _, session := start(t)
	_, err := session.Report(context.Background())
	assert.NilError(t, err)
	err = session.Send(context.Background(), load("e-0", 1))
	assert.ErrorIs(t, err, engineclient.ErrRestarted)
	assert.Equal(t, engine.Account().Loads, 0)
}

func TestSessionNeverDialsAgain(t *testing.T) {
	engine, server, session := start(t)
	ctx := context.Background()
	report, err := session.Report(ctx)
	assert.NilError(t, err)
	server.CloseClientConnections() // as a restart of the engine's process does
	err = session.Send(ctx, load(report.Boot, 1))
	assert.Assert(t, err != nil)
	err = session.Send(ctx, load(report.Boot, 1))
	assert.ErrorIs(t, err, engineclient.ErrConnectionLost)
	assert.Equal(t, engine.Account().Loads, 0)
}

func TestOrderWithoutAnAnswerIsSentOnce(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	session, err := engineclient.Dial(context.Background(), bundle.Upstream{ID: "e", Address: server.Listener.Addr().String()}, nil)
	assert.NilError(t, err)
	defer session.Close()
	assert.Assert(t, session.Send(context.Background(), load("", 1)) != nil)
	assert.Equal(t, requests.Load(), int32(1))
}

// An engine that asks for an identity takes orders from control processes that
// show one, and from nobody else.
func TestEngineWithTLSRefusesStrangers(t *testing.T) {
	files, stranger := certs.In(t.TempDir()), certs.In(t.TempDir())
	assert.NilError(t, files.Write(1))
	assert.NilError(t, stranger.Write(2))
	source := func(f certs.Files, authority string) *tlsconf.Source {
		s, err := tlsconf.NewSource(tlsconf.Settings{Certificate: f.Certificate, Key: f.Key, CA: authority})
		assert.NilError(t, err)
		return s
	}
	own := source(files, files.Authority)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"boot":"b1"}`))
	}))
	server.TLS = own.ServerConfig()
	server.StartTLS()
	defer server.Close()
	upstream := bundle.Upstream{ID: "e", Address: server.Listener.Addr().String()}
	ask := func(identity *tlsconf.Source) error {
		session, err := engineclient.Dial(t.Context(), upstream, identity)
		if err != nil {
			return err
		}
		defer session.Close()
		_, err = session.Report(t.Context())
		return err
	}
	assert.NilError(t, ask(own))
	assert.Assert(t, ask(source(stranger, files.Authority)) != nil, "a stranger's certificate")
	assert.Assert(t, ask(nil) != nil, "plain text")
}
