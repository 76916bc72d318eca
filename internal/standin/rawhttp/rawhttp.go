// Package rawhttp is a stand-in for servers in trouble: it responds with any bytes, and knows responses that violate
// HTTP.
package rawhttp

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
)

// Serve responds to each request that arrives at a listener with the bytes that respond returns, and then closes the
// connection unless keepOpen is set. It returns when the listener is closed.
func Serve(listener net.Listener, keepOpen bool, respond func(*http.Request) string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, keepOpen, respond)
	}
}

func serveConn(conn net.Conn, keepOpen bool, respond func(*http.Request) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for isOpen := true; isOpen; isOpen = keepOpen {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, respond(request)); err != nil {
			return
		}
	}
}

// Response is what malformed responses are made of.
type Response struct {
	Fields string // lines of the head that are sound
	Body   string
}

func (r Response) withLength() string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
}

func (r Response) chunks() string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(r.Body), r.Body) }

// Sound returns the response without a fault.
func (r Response) Sound() string { return "HTTP/1.1 200 OK\r\n" + r.Fields + r.withLength() }

// WithStatus returns the response with a status.
func (r Response) WithStatus(status string) string {
	return "HTTP/1.1 " + status + " X\r\n" + r.Fields + r.withLength()
}

// InvalidStatuses returns responses whose status no response may have, by the fault.
func (r Response) InvalidStatuses() map[string]string {
	empty := Response{Fields: r.Fields}
	return map[string]string{
		"status 000":                            r.WithStatus("000"),
		"status 000 without a body":             empty.WithStatus("000"),
		"status 000 before a response":          "HTTP/1.1 000 X\r\n\r\n" + r.Sound(),
		"status 099":                            empty.WithStatus("099"),
		"status with a sign":                    empty.WithStatus("+20"),
		"status 600":                            r.WithStatus("600"),
		"status 999":                            r.WithStatus("999"),
		"switch of protocols":                   "HTTP/1.1 101 X\r\n" + r.Fields + "\r\n" + r.Body,
		"switch of protocols before a response": "HTTP/1.1 101 X\r\n\r\n" + r.Sound(),
	}
}

// InvalidFields returns responses in which a field has no valid name, by the fault.
func (r Response) InvalidFields() map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + r.Fields
	return map[string]string{
		"blank after name of length":      head + strings.Replace(r.withLength(), ":", " :", 1) + r.Body,
		"blank after name of encoding":    head + "Transfer-Encoding : chunked\r\n\r\n" + r.chunks(),
		"blank within name":               head + "X Note: a\r\n" + r.withLength(),
		"blank before name":               head + " " + r.withLength() + r.Body,
		"tab before name":                 head + "\tX-Note: a\r\n" + r.withLength(),
		"tab within name":                 head + "X\tNote: a\r\n" + r.withLength(),
		"control byte within name":        head + "X\x01Note: a\r\n" + r.withLength(),
		"zero byte within name":           head + "X\x00Note: a\r\n" + r.withLength(),
		"control byte within value":       head + "X-Note: a\x01\r\n" + r.withLength(),
		"no name":                         head + ": a\r\n" + r.withLength(),
		"no colon":                        head + "X-Note\r\n" + r.withLength(),
		"blank before chunks":             head + "X Note: a\r\nTransfer-Encoding: chunked\r\n\r\n" + r.chunks(),
		"blank in a failure":              "HTTP/1.1 500 X\r\nX Note: a\r\n" + r.Fields + r.withLength(),
		"blank in informational head":     "HTTP/1.1 103 X\r\nX Note: a\r\n\r\n" + r.Sound(),
		"blank after informational name":  "HTTP/1.1 103 X\r\nLink : a\r\n\r\n" + r.Sound(),
		"control in informational head":   "HTTP/1.1 103 X\r\nX\x01Note: a\r\n\r\n" + r.Sound(),
		"blank in 2nd informational head": "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\nX Note: a\r\n\r\n" + r.Sound(),
	}
}

// ChunkedInHTTP10 returns a response with a transfer encoding that HTTP/1.0 doesn't know.
func (r Response) ChunkedInHTTP10() string {
	return "HTTP/1.0 200 OK\r\n" + r.Fields + "Transfer-Encoding: chunked\r\n\r\n" + r.chunks()
}

// InvalidTrailers returns responses in chunks whose trailer can't be read, by the fault.
func (r Response) InvalidTrailers() map[string]string {
	return r.withEnds(map[string]string{
		"blank within name":        "0\r\nX Note: a\r\n\r\n",
		"blank after name":         "0\r\nX-Note : a\r\n\r\n",
		"control byte within name": "0\r\nX\x01Note: a\r\n\r\n",
		"no name":                  "0\r\n: a\r\n\r\n",
		"cut within trailer":       "0\r\nX-Note: a\r\n",
	})
}

// InvalidChunkLines returns responses in chunks with a chunk line that can't be read, by the fault.
func (r Response) InvalidChunkLines() map[string]string {
	return r.withEnds(map[string]string{
		"blank before size":          " 4\r\nmore\r\n0\r\n\r\n",
		"blank within size":          "0 4\r\nmore\r\n0\r\n\r\n",
		"control byte within size":   "4\x01\r\nmore\r\n0\r\n\r\n",
		"size with a sign":           "+4\r\nmore\r\n0\r\n\r\n",
		"size with a prefix":         "0x4\r\nmore\r\n0\r\n\r\n",
		"no size":                    "\r\nmore\r\n0\r\n\r\n",
		"size too large":             "10000000000000004\r\nmore\r\n0\r\n\r\n",
		"line feed alone":            "4\nmore\r\n0\r\n\r\n",
		"chunk longer than its size": "3\r\nmore\r\n0\r\n\r\n",
		"cut":                        "4\r\nmore\r\n1",
		"cut within last line":       "4\r\nmore\r\n0\r\n",
	})
}

// withEnds returns the response in a chunk that each of the ends follows.
func (r Response) withEnds(ends map[string]string) map[string]string {
	responses := make(map[string]string, len(ends))
	for name, end := range ends {
		responses[name] = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", r.Fields, len(r.Body), r.Body, end)
	}
	return responses
}

// CutHeads returns responses that end within the head.
func (r Response) CutHeads() map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + r.Fields
	return map[string]string{
		"within status":             "HTTP/1.1 2",
		"after status line":         "HTTP/1.1 200 OK\r\n",
		"within name":               head + "Content-Le",
		"within length":             head + "Content-Length: 1",
		"before blank line":         head + "Content-Length: 18\r\n",
		"within blank line":         head + "Content-Length: 18\r\n\r",
		"within informational head": "HTTP/1.1 103 X\r\nLink: a\r\n",
		"after informational head":  "HTTP/1.1 103 X\r\nLink: a\r\n\r\n",
	}
}

// MalformedHeads returns all responses whose head violates HTTP, by the fault.
func (r Response) MalformedHeads() map[string]string {
	responses := r.InvalidStatuses()
	maps.Copy(responses, r.InvalidFields())
	responses["chunked in HTTP/1.0"] = r.ChunkedInHTTP10()
	return responses
}
