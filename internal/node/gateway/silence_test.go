package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

// engineSilence is longer than the stall timeout of the test routes and shorter than callers
// tolerate.
const engineSilence = 1500 * time.Millisecond

// fallSilent returns a responder that sends the first event, nothing for a time, and then the
// rest of the stream. It streams the rest at once if the stream is resumed.
func fallSilent(silence time.Duration) responder {
	return func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "1" {
			return respondWithEvents(2, 3, true)(u, r, body, conn)
		}
		writeResponseHead(conn, r, 200, "Transfer-Encoding: chunked\r\n")
		for i := 1; i <= 3; i++ {
			event := eventText(i, i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			if i == 1 {
				time.Sleep(silence)
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

func TestBrokenExchangesAreCountedByCause(t *testing.T) {
	count := func(cause string) string {
		return fmt.Sprintf("# HELP savoryweir_node_broken_exchanges_total Exchanges with upstreams that ended without a complete response, by cause.\n"+
			"# TYPE savoryweir_node_broken_exchanges_total counter\nsavoryweir_node_broken_exchanges_total{cause=%q} 1\n", cause)
	}
	for name, c := range map[string]struct {
		engine responder
		cause  string
	}{
		"stream broken by the engine": {respondWithEvents(1, 1, false), "upstream"},
		"silent stream":               {fallSilent(engineSilence), "silence"},
	} {
		t.Run(name, func(t *testing.T) {
			resumable := func(u *testUpstream, r *http.Request, body []byte, conn net.Conn) bool {
				if r.Header.Get("Last-Event-Id") == "1" {
					return respondWithEvents(2, 3, true)(u, r, body, conn)
				}
				return c.engine(u, r, body, conn)
			}
			h := newHarness(t, startUpstream(t, "u1", resumable), startUpstream(t, "u2", resumable))
			got := doStream(h, t, "/stream/1", "Deadline-Ms", "3000")
			assert.NilError(t, got.err)
			assert.NilError(t, testutil.GatherAndCompare(h.gateway.Metrics.Registry, strings.NewReader(count(c.cause)), "savoryweir_node_broken_exchanges_total"))
		})
	}
}
