package upstream

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"savoryweir/internal/standin/rawhttp"
)

// answerMalformed answers a run by a response that violates HTTP and whose body is not the answer, and closes the
// connection.
func (u *Upstream) answerMalformed(w http.ResponseWriter, run Run, gone context.CancelFunc) {
	answer, err := hijack(w, gone)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer answer.end()
	var fields strings.Builder
	if err := answer.header.Write(&fields); err != nil {
		return
	}
	body := "not " + Answer(run.Request, run.Fingerprint)
	if u.config.Places > 0 {
		body = "data: no event of " + run.Request + "\n\n"
	}
	responses := rawhttp.Response{Fields: fields.String(), Body: body}.MalformedHeads()
	_, _ = io.WriteString(answer.conn, responses[u.drawMalformed(slices.Sorted(maps.Keys(responses)))])
}

// drawMalformed returns one of the names of malformed responses.
func (u *Upstream) drawMalformed(names []string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return names[u.malformed.IntN(len(names))]
}

// isNextMalformed draws whether the next answer is malformed.
func (u *Upstream) isNextMalformed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.malformed.Float64() < u.config.MalformedShare
}
