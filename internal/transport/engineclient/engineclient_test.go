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

// startEngine starts an engine behind an HTTP server and connects a session to it.
func startEngine(t *testing.T) (*residency.Engine, *httptest.Server, *engineclient.Session) {
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

// newLoadOrder returns an order to load version 1 of the model m, which takes 10 MiB.
func newLoadOrder(boot string, fence ledger.Fence) ledger.Order {
	return ledger.Order{Engine: "e", Boot: boot, Action: ledger.Load, Slot: ledger.Slot{Model: "m", Version: "1"}, Memory: 10, Fence: fence}
}

func TestNextReportContainsSentOrder(t *testing.T) {
	_, _, session := startEngine(t)
	ctx := context.Background()
	report, err := session.Report(ctx)
	assert.NilError(t, err)
	order := newLoadOrder(report.Boot, 3)
	assert.NilError(t, session.Send(ctx, order))
	report, err = session.Report(ctx)
	assert.NilError(t, err)
	assert.Equal(t, report.Fence, ledger.Fence(3))
	assert.DeepEqual(t, report.Handled, []string{order.ID()})
	assert.DeepEqual(t, report.Residents, []ledger.Resident{{Slot: order.Slot, Memory: 10}})
}

func TestOrderForPreviousBootIsNotSent(t *testing.T) {
	engine, _, session := startEngine(t)
	_, err := session.Report(context.Background())
	assert.NilError(t, err)
	err = session.Send(context.Background(), newLoadOrder("e-0", 1))
	assert.ErrorIs(t, err, engineclient.ErrRestarted)
	assert.Equal(t, engine.Account().Loads, 0)
}

func TestSessionDoesNotReconnect(t *testing.T) {
	engine, server, session := startEngine(t)
	ctx := context.Background()
	report, err := session.Report(ctx)
	assert.NilError(t, err)
	server.CloseClientConnections() // a restart of the engine's process has the same effect
	err = session.Send(ctx, newLoadOrder(report.Boot, 1))
	assert.Assert(t, err != nil)
	err = session.Send(ctx, newLoadOrder(report.Boot, 1))
	assert.ErrorIs(t, err, engineclient.ErrConnectionLost)
	assert.Equal(t, engine.Account().Loads, 0)
}

func TestOrderWithoutResponseIsNotRetried(t *testing.T) {
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
	assert.Assert(t, session.Send(context.Background(), newLoadOrder("", 1)) != nil)
	assert.Equal(t, requests.Load(), int32(1))
}

// An engine that requires client certificates accepts connections only from control
// processes that present a certificate of the trusted authority.
func TestEngineRefusesClientWithoutTrustedCertificate(t *testing.T) {
	files, untrusted := certs.In(t.TempDir()), certs.In(t.TempDir())
	assert.NilError(t, files.Write(1))
	assert.NilError(t, untrusted.Write(2))
	source := func(f certs.Files, ca string) *tlsconf.Source {
		s, err := tlsconf.NewSource(tlsconf.Settings{Certificate: f.Certificate, Key: f.Key, CA: ca})
		assert.NilError(t, err)
		return s
	}
	trusted := source(files, files.Authority)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"boot":"b1"}`))
	}))
	server.TLS = trusted.ServerConfig()
	server.StartTLS()
	defer server.Close()
	upstream := bundle.Upstream{ID: "e", Address: server.Listener.Addr().String()}
	readReport := func(identity *tlsconf.Source) error {
		session, err := engineclient.Dial(t.Context(), upstream, identity)
		if err != nil {
			return err
		}
		defer session.Close()
		_, err = session.Report(t.Context())
		return err
	}
	assert.NilError(t, readReport(trusted))
	assert.Assert(t, readReport(source(untrusted, files.Authority)) != nil, "certificate of another authority")
	assert.Assert(t, readReport(nil) != nil, "plain TCP")
}
