package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/certs"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/serve"
	"savoryweir/internal/transport/tlsconf"
	"savoryweir/internal/transport/upstreamhttp"
)

func TestStreamsOverHTTP2AreWholeUnderFaults(t *testing.T) {
	for _, kind := range []engine.FaultKind{engine.FaultSilent, engine.FaultCut, engine.FaultCrossed, engine.FaultNoEnd} {
		t.Run(string(kind), func(t *testing.T) {
			one, two := startEngine(t, "e1"), startEngine(t, "e2")
			e := startEntry(t, &sharedView{data: viewOf(one, two)}, nil, func(s *Settings) {
				s.Upstreams.Protocol = upstreamhttp.ProtocolH2C
			})
			e.earnRetries()
			for _, n := range []*node{one, two} {
				n.engine.Inject(engine.Fault{Kind: kind, After: 3, Count: 1})
			}
			assertWhole(t, e.stream(t, "r1", "hello", 20), "hello", 20)
		})
	}
}

func TestCallersMayUseHTTP2(t *testing.T) {
	one := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewOf(one)}, nil, nil)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request(http.MethodPost, e.url+chatPath, chatBody("hello", 5, true), header{"X-Request-Id", "r1"}))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.ProtoMajor, 2)
	var got streamed
	got.open(response.Body)
	readStream(t, "r1", &got, 1<<20)
	assertWhole(t, got, "hello", 5)
}

// startTLSEngine is startEngine behind TLS that asks for the entry's certificate.
func startTLSEngine(t *testing.T, id string, source *tlsconf.Source) *node {
	t.Helper()
	n := startEngine(t, id)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := serve.NewServer(n.engine.Handler())
	go func() { _ = server.Serve(tls.NewListener(listener, source.ServerConfig())) }()
	t.Cleanup(func() { _ = server.Close() })
	n.address = listener.Addr().String()
	return n
}

func TestTLSOnBothSidesWithCertificatesReplaced(t *testing.T) {
	for _, protocol := range []upstreamhttp.Protocol{upstreamhttp.ProtocolHTTP1, upstreamhttp.ProtocolH2C} {
		t.Run(string(protocol), func(t *testing.T) {
			files := certs.In(t.TempDir())
			assert.NilError(t, files.Write(1))
			settings := tlsconf.Settings{Certificate: files.Certificate, Key: files.Key, CA: files.Authority}
			source, err := tlsconf.NewSource(settings)
			assert.NilError(t, err)
			one := startTLSEngine(t, "e1", source)
			e := startEntry(t, &sharedView{data: viewOf(one)}, nil, func(s *Settings) {
				s.Callers.TLS, s.Upstreams.TLS, s.Upstreams.Protocol = settings, settings, protocol
			})
			assert.Equal(t, callOverTLS(t, e, source), int64(1))
			assert.NilError(t, files.Write(2))
			e.repeatClient.CloseIdle()
			assert.Equal(t, callOverTLS(t, e, source), int64(2))
			anonymous, err := tlsconf.NewSource(tlsconf.Settings{CA: files.Authority})
			assert.NilError(t, err)
			_, err = tlsTransport(anonymous).RoundTrip(tlsRequest(e))
			assert.Assert(t, err != nil, "a caller without a certificate is refused")
		})
	}
}

func tlsTransport(source *tlsconf.Source) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&tls.Dialer{Config: source.ClientConfig("127.0.0.1")}).DialContext(ctx, network, address)
	}
	return &http.Transport{DialTLSContext: dial, DisableKeepAlives: true}
}

func tlsRequest(e *testEntry) *http.Request {
	return request(http.MethodPost, "https"+e.url[len("http"):]+chatPath, chatBody("hello", 5, true), header{"X-Request-Id", "r1"})
}

// callOverTLS checks one stream and returns the serial number of the entry's certificate.
func callOverTLS(t *testing.T, e *testEntry, source *tlsconf.Source) int64 {
	t.Helper()
	response, err := tlsTransport(source).RoundTrip(tlsRequest(e))
	assert.NilError(t, err)
	defer response.Body.Close()
	var got streamed
	got.open(response.Body)
	readStream(t, "r1", &got, 1<<20)
	assertWhole(t, got, "hello", 5)
	return response.TLS.PeerCertificates[0].SerialNumber.Int64()
}
