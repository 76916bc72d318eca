package checkedhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// uploadEarly sends a body that is longer than what the socket buffers hold to a server that responds early.
func uploadEarly(t *testing.T, server rawhttp.Early) (string, error) {
	t.Helper()
	listener, err := rawhttp.ListenEarly(t.Context())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go server.Serve(listener)
	base := &http.Transport{DialContext: WrapDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})}
	defer base.CloseIdleConnections()
	client := &http.Client{Transport: Transport{Base: base}}
	response, err := client.Post("http://"+listener.Addr().String(), "text/plain", bytes.NewReader(make([]byte, 8<<20)))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// net/http drops the error of a write whose response has begun, and takes the end of the file for the end of the body.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	for name, text := range (rawhttp.Response{Body: "half"}).Unframed() {
		for _, after := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				t.Parallel()
				body, err := uploadEarly(t, rawhttp.Early{Respond: func(*http.Request) string { return text }, End: rawhttp.ResetAfter(after)})
				assert.Assert(t, err != nil, "%q looks complete", body)
			})
		}
	}
}

func TestEarlyResponseWithOrderlyEndIsComplete(t *testing.T) {
	responses := (rawhttp.Response{Body: "whole"}).Unframed()
	for name, text := range (rawhttp.Response{Body: "whole"}).Framed() {
		responses[name] = text
	}
	delete(responses, "head alone")
	for name, text := range responses {
		for endName, end := range map[string]rawhttp.End{
			"reset later": rawhttp.CloseThenResetAfter(20 * time.Millisecond), "reset at once": rawhttp.CloseThenResetAfter(0), "upload is read": rawhttp.CloseThenRead,
		} {
			t.Run(name+" "+endName, func(t *testing.T) {
				t.Parallel()
				body, err := uploadEarly(t, rawhttp.Early{Respond: func(*http.Request) string { return text }, End: end})
				assert.NilError(t, err)
				assert.Equal(t, body, "whole")
			})
		}
	}
}
