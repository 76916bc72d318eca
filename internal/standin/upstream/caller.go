package upstream

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is what a caller says of a request in its headers.
type Call struct {
	Request  string // its identifier
	Deadline time.Duration
	Model    string // MODEL or MODEL/ADAPTER, empty for plain services
	Events   int    // that the stream shall have
	// Shared are the parts of the prompt that other requests have too; none stands for one that
	// all requests have. Own is the last part.
	Shared []string
	Own    uint64

	// Resumes is the request that brought the first event of the stream that this one takes
	// up after LastEvent; empty for a new stream.
	Resumes   string
	LastEvent int
}

// promptShared and promptOwn are the tokens of each shared part of a prompt and of its last part.
const promptShared, promptOwn = 50, 150

// usualPart is the shared part of requests that name none.
const usualPart = "a1"

// Stamp sets the headers of a caller's request.
func (c Call) Stamp(h http.Header) {
	h.Set("Request-Id", c.Request)
	h.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Resumes != "" {
		h.Set("Resumes", c.Resumes)
		h.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
	if c.Model == "" {
		return
	}
	shared := c.Shared
	if len(shared) == 0 {
		shared = []string{usualPart}
	}
	var parts strings.Builder
	for _, id := range shared {
		fmt.Fprintf(&parts, "%s:%d,", id, promptShared)
	}
	fmt.Fprintf(&parts, "%x:%d", c.Own, promptOwn)
	h.Set("Model", c.Model)
	h.Set("Token-Count", fmt.Sprintf("%d,%d", len(shared)*promptShared+promptOwn, c.Events))
	h.Set("Prompt-Prefix", parts.String())
}

// sharedParts returns the IDs of the parts of a prompt but for the last.
func sharedParts(h http.Header) []string {
	parts := strings.Split(h.Get("Prompt-Prefix"), ",")
	var shared []string
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		shared = append(shared, id)
	}
	return shared
}

// IsAnswered reports whether the headers are those of an upstream's answer to the request.
func (c Call) IsAnswered(h http.Header) bool {
	return h.Get("Request-Id") == c.Request && h.Get("Response-Seal") == seal(c.Request)
}

// seal is the signature of the answers of all upstreams.
func seal(request string) string { return "seal-" + request }
