package e2e

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"savoryweir/internal/protocol/httpapi"
)

// recordedHeaders are the headers of answers that a session shows.
var recordedHeaders = []string{
	"Content-Type", "Retry-After", httpapi.HeaderRequestID, httpapi.HeaderOutcome, httpapi.HeaderReplayed, httpapi.HeaderGeneration,
}

// normalised are the parts of answers that differ from run to run.
var normalised = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`("path":"/status/1","runs":)\d+`), `${1}RUNS`},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`"retry_after_seconds":\d+`), `"retry_after_seconds":SECONDS`},
	{regexp.MustCompile(`(?m)^< Retry-After: \d+$`), `< Retry-After: SECONDS`},
}

// session writes down what a caller sends and gets.
type session struct {
	system *system
	text   strings.Builder
}

func (s *session) call(title, method, path, body string, headers ...string) {
	t := s.system.t
	request, err := http.NewRequestWithContext(t.Context(), method, s.system.entries[0].URL()+path, strings.NewReader(body))
	assert.NilError(t, err)
	fmt.Fprintf(&s.text, "## %s\n> %s %s\n", title, method, path)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
		fmt.Fprintf(&s.text, "> %s: %s\n", headers[i], headers[i+1])
	}
	if body != "" {
		fmt.Fprintf(&s.text, ">\n> %s\n", body)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	fmt.Fprintf(&s.text, "< %s\n", response.Status)
	for _, name := range recordedHeaders {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&s.text, "< %s: %s\n", name, value)
		}
	}
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	fmt.Fprintf(&s.text, "<\n%s\n\n", strings.TrimRight(string(data), "\n"))
}

func (s *session) String() string {
	text := s.text.String()
	for _, n := range normalised {
		text = n.pattern.ReplaceAllString(text, n.replacement)
	}
	return text
}

// TestCallersSession compares a stream, an answer at once, a read, orders and
// refusals with their golden files. The flag -update writes them anew.
func TestCallersSession(t *testing.T) {
	const (
		id      = httpapi.HeaderRequestID
		key     = httpapi.HeaderIdempotencyKey
		attempt = httpapi.HeaderAttempt
		chat    = "/v1/chat/completions"
		orders  = "/services/bookings/orders/new"
		prompt  = `"messages":[{"role":"user","content":"Tag this banner."}]`
	)
	system := startSystem(t, 3)

	stream := &session{system: system}
	stream.call("a stream", http.MethodPost, chat, `{"model":"banner","stream":true,"max_tokens":4,`+prompt+`}`, id, "s-1")
	stream.call("its rest, from an offset", http.MethodPost, chat, `{"model":"banner","stream":true,"max_tokens":4,`+prompt+`}`,
		id, "s-1", httpapi.HeaderResumeOffset, "2")
	stream.call("the whole answer at once", http.MethodPost, chat, `{"model":"banner","max_tokens":4,`+prompt+`}`, id, "s-2")
	stream.call("a model that is not there", http.MethodPost, chat, `{"model":"none",`+prompt+`}`, id, "s-3")
	golden.Assert(t, stream.String(), "stream.golden")

	read := &session{system: system}
	read.call("a read", http.MethodGet, statusPath, "", id, "r-0")
	read.call("a service that is not there", http.MethodGet, "/services/none/status", "", id, "r-1")
	read.call("a header that is not allowed", http.MethodGet, statusPath, "", id, "r-2", httpapi.HeaderDeadline, "soon")
	golden.Assert(t, read.String(), "read.golden")

	order := &session{system: system}
	order.call("an order", http.MethodPost, orders, `{"order":"IO-1"}`, id, "o-1", key, "IO-1", attempt, "1")
	order.call("its resend", http.MethodPost, orders, `{"order":"IO-1"}`, id, "o-2", key, "IO-1", attempt, "2")
	order.call("another order under its key", http.MethodPost, orders, `{"order":"IO-2"}`, id, "o-3", key, "IO-1", attempt, "1")
	golden.Assert(t, order.String(), "order.golden")
}
