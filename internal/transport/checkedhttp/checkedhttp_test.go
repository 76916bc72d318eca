package checkedhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/responsehead"
	"savoryweir/internal/standin/rawhttp"
)

// newClient returns a client of a server that responds to all requests with a text, and the number of connections that
// it has opened.
func newClient(t *testing.T, text string) (client *http.Client, url string, opened *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go rawhttp.Serve(listener, true, func(*http.Request) string { return text })
	opened = new(atomic.Int32)
	dial := WrapDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	base := &http.Transport{DialContext: dial}
	t.Cleanup(base.CloseIdleConnections)
	client = &http.Client{Transport: Transport{Base: base}}
	return client, "http://" + listener.Addr().String(), opened
}

func get(client *http.Client, url string) (string, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestConnectionIsKeptAfterSoundResponses(t *testing.T) {
	for _, body := range []string{"", "ok"} {
		client, url, opened := newClient(t, "HTTP/1.1 103 X\r\nLink: a\r\n\r\n"+rawhttp.Response{Body: body}.Sound())
		for range 3 {
			got, err := get(client, url)
			assert.NilError(t, err)
			assert.Equal(t, got, body)
		}
		assert.Equal(t, opened.Load(), int32(1))
	}
}

// net/http takes a connection back before the response is checked if that has no body. A request that gets it then
// must fail unsent, and go on another one.
func TestNoRequestIsSentAfterMalformedResponse(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: ""}).InvalidStatuses() {
		t.Run(name, func(t *testing.T) {
			client, url, opened := newClient(t, text)
			var group sync.WaitGroup
			for range 8 {
				group.Go(func() {
					for range 4 {
						_, err := get(client, url)
						assert.Check(t, err != nil)
					}
				})
			}
			group.Wait()
			assert.Assert(t, opened.Load() >= 32, "%d connections for 32 requests", opened.Load())
			_, err := get(client, url)
			assert.ErrorIs(t, err, responsehead.ErrMalformed)
		})
	}
}
