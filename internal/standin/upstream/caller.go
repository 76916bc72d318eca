package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// Call is what a caller says of a request in its headers.
type Call struct {
	Request  string // its identifier
	Deadline time.Duration
	Model    string // MODEL or MODEL/ADAPTER, empty for plain services
	Events   int    // that the stream shall have
	Own      uint64 // part of the prompt that no other request has

	// Resumes is the request that brought the first event of the stream that this one takes
	// up after LastEvent; empty for a new stream.
	Resumes   string
	LastEvent int
}

// promptShared and promptOwn are the tokens of the two parts of a prompt.
const promptShared, promptOwn = 50, 150

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
	h.Set("Model", c.Model)
	h.Set("Token-Count", strconv.Itoa(promptShared+promptOwn)+","+strconv.Itoa(c.Events))
	h.Set("Prompt-Prefix", "a1:"+strconv.Itoa(promptShared)+","+strconv.FormatUint(c.Own, 16)+":"+strconv.Itoa(promptOwn))
}

// IsAnswered reports whether the headers are those of an upstream's answer to the request.
func (c Call) IsAnswered(h http.Header) bool {
	return h.Get("Request-Id") == c.Request && h.Get("Response-Seal") == seal(c.Request)
}

// seal is the signature of the answers of all upstreams.
func seal(request string) string { return "seal-" + request }
