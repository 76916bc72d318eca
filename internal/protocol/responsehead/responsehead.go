// Package responsehead checks the heads of HTTP/1 responses. net/http accepts heads that violate HTTP: any status of
// three characters that is a number, names of fields that hold blanks, lines that continue the one before, and a
// transfer encoding in HTTP/1.0, which it ignores. Such heads come from upstreams in trouble, and a body that is
// framed by one may hold other bytes than were meant.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the cause of all errors of this package.
var ErrMalformed = errors.New("response violates HTTP")

// maxLineBytes bounds a line of a head.
const maxLineBytes = 64 << 10

// Checker checks the bytes that are read from a connection up to the end of the head of a final response. The zero
// value checks nothing until Expect is called.
type Checker struct {
	part            part
	isInformational bool   // the present head is that of an informational response
	isHTTP10        bool   // the present head is that of an HTTP/1.0 response
	line            []byte // beginning of a line that is not complete yet
	err             error
}

// part is what the next line of a connection belongs to.
type part uint8

const (
	partOther  part = iota // no head
	partStatus             // the status line
	partFields
)

// Expect states that the next bytes are those of a response.
func (c *Checker) Expect() { c.part, c.line = partStatus, nil }

// Err returns the first fault that was found, or nil. It stays: what follows a malformed head may belong to any
// response.
func (c *Checker) Err() error { return c.err }

// Observe checks the next bytes of the connection.
func (c *Checker) Observe(data []byte) {
	for c.part != partOther && c.err == nil {
		begun, rest, isComplete := bytes.Cut(data, []byte{'\n'})
		if len(c.line)+len(begun) > maxLineBytes {
			c.err = fmt.Errorf("%w: a line of its head is longer than %d bytes", ErrMalformed, maxLineBytes)
			return
		}
		c.line = append(c.line, begun...)
		if !isComplete {
			return
		}
		c.err = c.checkLine(string(bytes.TrimSuffix(c.line, []byte{'\r'})))
		c.line, data = c.line[:0], rest
	}
	c.line = nil
}

func (c *Checker) checkLine(line string) error {
	switch {
	case c.part == partStatus:
		c.part = partFields
		return c.checkStatusLine(line)
	case line != "":
		return c.checkField(line)
	case c.isInformational:
		c.part = partStatus
	default:
		c.part = partOther
	}
	return nil
}

// statusLine matches a status line. Its groups are the minor version and the status.
var statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) ([0-9]{3})(?: |$)`)

func (c *Checker) checkStatusLine(line string) error {
	match := statusLine.FindStringSubmatch(line)
	if match == nil {
		return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	status, err := strconv.Atoi(match[2])
	if err != nil {
		return err
	}
	c.isHTTP10, c.isInformational = match[1] == "0", status < http.StatusOK
	return CheckStatus(status)
}

// checkField checks a line of a field, and finds lines that continue the one before by the blank they begin with.
func (c *Checker) checkField(line string) error {
	name, value, hasColon := strings.Cut(line, ":")
	switch {
	case !hasColon || !httpguts.ValidHeaderFieldName(name):
		return fmt.Errorf("%w: field %.40q has no valid name", ErrMalformed, name)
	case !httpguts.ValidHeaderFieldValue(value):
		return fmt.Errorf("%w: field %.40q has no valid value", ErrMalformed, name)
	case c.isHTTP10 && strings.EqualFold(name, "Transfer-Encoding"):
		return fmt.Errorf("%w: transfer encoding in HTTP/1.0", ErrMalformed)
	default:
		return nil
	}
}

// CheckStatus returns an error for a status that no response to this system may have. It asks no upstream to switch
// to another protocol.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// CheckTrailer returns an error if the name of a field in the trailer of a response is not valid.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %.40q of the trailer has no valid name", ErrMalformed, name)
		}
	}
	return nil
}
