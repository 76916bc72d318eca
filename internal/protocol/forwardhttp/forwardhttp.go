// Package forwardhttp encodes what instances tell each other in the headers of requests that one of
// them forwards to another, because it can't reach upstreams itself.
package forwardhttp

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	headerForwarded = "Savoryweir-Forwarded"
	headerOwn       = "Savoryweir-Own-Response"
	headerSends     = "Savoryweir-Sends"
	// headerConfig is a header of its own, as former builds read no identity from a request with three values of
	// headerForwarded.
	headerConfig = "Savoryweir-Config"
)

// customerPrefix begins the second value of headerForwarded, which names the customer. A build that doesn't know it
// reads the first value only, and drops the header where a caller has set it.
const customerPrefix = "customer="

// maxElapsed limits the time for which a request can have been at its sender.
const maxElapsed = 24 * time.Hour

// Request is what the sender of a forwarded request tells of it.
type Request struct {
	Elapsed time.Duration // time since the caller's request arrived at the sender
	Sends   int           // sends to upstreams that count against the route's limit
	// IsIdentified states that the sender has checked the caller's key, which it doesn't forward.
	IsIdentified bool
	Customer     string // empty if the request needed no key at the sender
	// Config is the operator's version of the oldest configuration by which the request may be served, zero if the sender
	// doesn't tell it.
	Config uint64
}

// Encode sets the header of a forwarded request.
func (r Request) Encode(h http.Header) {
	h.Set(headerForwarded, fmt.Sprintf("%d,%d", r.Elapsed.Microseconds(), r.Sends))
	if r.IsIdentified {
		h.Add(headerForwarded, customerPrefix+url.QueryEscape(r.Customer))
	}
	encodeConfig(h, r.Config)
}

func encodeConfig(h http.Header, version uint64) {
	if version > 0 {
		h.Set(headerConfig, strconv.FormatUint(version, 10))
	}
}

func decodeConfig(h http.Header) uint64 {
	version, err := strconv.ParseUint(h.Get(headerConfig), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// Decode returns what the header of a forwarded request tells. Values that are not valid count as zero.
func Decode(h http.Header) Request {
	elapsed, sends, _ := strings.Cut(h.Get(headerForwarded), ",")
	micros, _ := strconv.ParseInt(elapsed, 10, 64)
	count, _ := strconv.Atoi(sends)
	r := Request{Elapsed: time.Duration(min(max(micros, 0), maxElapsed.Microseconds())) * time.Microsecond, Sends: max(count, 0), Config: decodeConfig(h)}
	if values := h.Values(headerForwarded); len(values) == 2 {
		escaped, isNamed := strings.CutPrefix(values[1], customerPrefix)
		name, err := url.QueryUnescape(escaped)
		if isNamed && err == nil {
			r.IsIdentified, r.Customer = true, name
		}
	}
	return r
}

// Response is what the receiver of a forwarded request tells in the response.
type Response struct {
	IsOwn bool // the receiver responds itself; no upstream does
	// TryOther means that another instance may serve the request; the receiver has not sent it to
	// an upstream.
	TryOther bool
	Sends    int // sends to upstreams before the response, as far as known
	// Config is the operator's version of the configuration by which the receiver has served the request, zero if it doesn't
	// tell it.
	Config uint64
}

const ownResponse, ownTryOther = "1", "try-other"

// Encode sets the headers of a response.
func (r Response) Encode(h http.Header) {
	switch {
	case r.IsOwn && r.TryOther:
		h.Set(headerOwn, ownTryOther)
	case r.IsOwn:
		h.Set(headerOwn, ownResponse)
	}
	h.Set(headerSends, strconv.Itoa(r.Sends))
	encodeConfig(h, r.Config)
}

// DecodeResponse returns what the headers of a response tell.
func DecodeResponse(h http.Header) Response {
	sends, _ := strconv.Atoi(h.Get(headerSends))
	own := h.Get(headerOwn)
	return Response{IsOwn: own != "", TryOther: own == ownTryOther, Sends: max(sends, 0), Config: decodeConfig(h)}
}

// Remove removes the headers of this package, which no caller and no upstream may set.
func Remove(h http.Header) {
	h.Del(headerForwarded)
	h.Del(headerOwn)
	h.Del(headerSends)
	h.Del(headerConfig)
}
