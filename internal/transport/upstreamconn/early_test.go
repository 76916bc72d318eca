package upstreamconn

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/rawhttp"
)

// uploadBytes is more than the socket buffers of both ends hold, so that the write of the body waits.
const uploadBytes = 8 << 20

// earlyEnds are the ways in which a server may end its connection, each after several times.
func earlyEnds(end func(time.Duration) rawhttp.End) map[string]rawhttp.End {
	ends := make(map[string]rawhttp.End)
	for _, d := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond} {
		ends[fmt.Sprint("after ", d)] = end(d)
	}
	return ends
}

// exchangeEarly sends an upload to a server that responds early, and reads the response after a pause.
func exchangeEarly(t *testing.T, server rawhttp.Early, readAfter time.Duration) (body string, err error) {
	t.Helper()
	listener, err := rawhttp.ListenEarly(t.Context())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go server.Serve(listener)
	r := newRequest(listener.Addr().String())
	r.Body = bytes.Repeat([]byte("x"), uploadBytes)
	x, err := NewPool(func() {}).Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	time.Sleep(readAfter)
	read, err := io.ReadAll(x)
	return string(read), err
}

// forEachEarly calls check for each of some responses, ways to end the connection, parts of the body that are read before
// and pauses before the response is read.
func forEachEarly(t *testing.T, responses map[string]string, ends map[string]rawhttp.End, check func(t *testing.T, name string, body string, err error)) {
	for name, text := range responses {
		for endName, end := range ends {
			for _, readBytes := range []int64{0, 100 << 10, uploadBytes / 2} {
				for _, readAfter := range []time.Duration{0, 60 * time.Millisecond} {
					t.Run(fmt.Sprint(name, " ends ", endName, ", read ", readBytes, ", ", readAfter), func(t *testing.T) {
						t.Parallel()
						body, err := exchangeEarly(t, rawhttp.Early{ReadBytes: readBytes, Respond: func(*http.Request) string { return text }, End: end}, readAfter)
						check(t, name, body, err)
					})
				}
			}
		}
	}
}

// The kernel reports a reset once. A write that waits for room takes the report, and the read that follows gets the end
// of the file, which ended a body without a length as if it were complete.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	half := rawhttp.Response{Body: "half"}
	forEachEarly(t, half.Unframed(), earlyEnds(rawhttp.ResetAfter), func(t *testing.T, _, body string, err error) {
		assert.Assert(t, err != nil, "%q looks complete", body)
	})
}

// A server may end its response in an orderly way and close the connection before it has read the body. The reset by
// which it turns away the rest of the body says nothing about the response.
func TestEarlyResponseWithOrderlyEndIsComplete(t *testing.T) {
	whole := rawhttp.Response{Body: strings.Repeat("whole", 2000)}
	ends := earlyEnds(rawhttp.CloseThenResetAfter)
	ends["by reading"] = rawhttp.CloseThenRead
	forEachEarly(t, whole.Unframed(), ends, func(t *testing.T, name, body string, err error) {
		assert.NilError(t, err)
		assert.Assert(t, body == whole.Body || name == "head alone" && body == "", "%d bytes", len(body))
	})
}

func TestEarlyFramedResponseIsCompleteHoweverItEnds(t *testing.T) {
	whole := rawhttp.Response{Body: "whole"}
	ends := earlyEnds(rawhttp.CloseThenResetAfter)
	for name, end := range earlyEnds(rawhttp.ResetAfter) {
		ends["by reset "+name] = end
	}
	forEachEarly(t, whole.Framed(), ends, func(t *testing.T, _, body string, err error) {
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
	})
}
