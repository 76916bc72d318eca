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

func TestHTTP2StreamsAreCompleteUnderUpstreamFaults(t *testing.T) {
	for _, kind := range []engine.FaultKind{engine.FaultSilent, engine.FaultCut, engine.FaultCrossed, engine.FaultNoEnd} {
		t.Run(string(kind), func(t *testing.T) {
			upstream1, upstream2 := startEngine(t, "e1"), startEngine(t, "e2")
			e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1, upstream2)}, nil, func(s *Settings) {
				s.Upstreams.Protocol = upstreamhttp.ProtocolH2C
			})
			e.fillRetryBudgets()
			for _, u := range []*testUpstream{upstream1, upstream2} {
				u.engine.Inject(engine.Fault{Kind: kind, After: 3, Count: 1})
			}
			assertCompleteStream(t, e.streamChat(t, "r1", "hello", 20), "hello", 20)
		})
	}
}

func TestCallerStreamsOverHTTP2(t *testing.T) {
	upstream1 := startEngine(t, "e1")
	e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, nil)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request(http.MethodPost, e.url+chatPath, chatBody("hello", 5, true), header{"X-Request-Id", "r1"}))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.ProtoMajor, 2)
	var got streamResult
	got.attach(response.Body)
	readStream(t, "r1", &got, 1<<20)
	assertCompleteStream(t, got, "hello", 5)
}

// startTLSEngine starts an engine behind TLS that requires the entry's certificate.
func startTLSEngine(t *testing.T, id string, source *tlsconf.Source) *testUpstream {
	t.Helper()
	u := startEngine(t, id)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := serve.NewServer(u.engine.Handler())
	go func() { _ = server.Serve(tls.NewListener(listener, source.ServerConfig())) }()
	t.Cleanup(func() { _ = server.Close() })
	u.address = listener.Addr().String()
	return u
}

// The certificate files are replaced while the entry runs. New connections to callers and upstreams
// must use the new ones, and callers without a certificate are refused.
func TestTLSUsesReplacedCertificatesOnBothSides(t *testing.T) {
	for _, protocol := range []upstreamhttp.Protocol{upstreamhttp.ProtocolHTTP1, upstreamhttp.ProtocolH2C} {
		t.Run(string(protocol), func(t *testing.T) {
			files := certs.In(t.TempDir())
			assert.NilError(t, files.Write(1))
			settings := tlsconf.Settings{Certificate: files.Certificate, Key: files.Key, CA: files.Authority}
			source, err := tlsconf.NewSource(settings)
			assert.NilError(t, err)
			upstream1 := startTLSEngine(t, "e1", source)
			e := startEntry(t, &sharedView{data: viewWithUpstreams(upstream1)}, nil, func(s *Settings) {
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

// callOverTLS asserts that one stream is complete and returns the serial number of the entry's certificate.
func callOverTLS(t *testing.T, e *testEntry, source *tlsconf.Source) int64 {
	t.Helper()
	response, err := tlsTransport(source).RoundTrip(tlsRequest(e))
	assert.NilError(t, err)
	defer response.Body.Close()
	var got streamResult
	got.attach(response.Body)
	readStream(t, "r1", &got, 1<<20)
	assertCompleteStream(t, got, "hello", 5)
	return response.TLS.PeerCertificates[0].SerialNumber.Int64()
}
