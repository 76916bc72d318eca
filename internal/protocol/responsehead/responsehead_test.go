package responsehead

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// check returns the fault of a response that arrives in parts of some bytes.
func check(text string, partBytes int) error {
	var c Checker
	c.Expect()
	for part := range slices.Chunk([]byte(text), partBytes) {
		c.Observe(part)
	}
	return c.Err()
}

const soundRest = "A: b\r\n\r\n"

func TestMalformedHeadIsFoundHoweverItArrives(t *testing.T) {
	for text, isSound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + soundRest:                       true,
		"HTTP/1.1 200\r\n" + soundRest:                          true,
		"HTTP/1.0 200 \n\n":                                     true,
		"HTTP/1.1 599 X\r\n" + soundRest:                        true,
		"HTTP/1.1 200 OK\r\nA:\r\nB: \xff : c\r\n\r\n":          true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": true,
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest: true,
		"HTTP/1.1 200 OK\r\n\r\n body: of\r\nHTTP/1.1 000\r\n":                                true,
		"HTTP/1.1 000 X\r\n":                       false,
		"HTTP/1.1 099 X\r\n":                       false,
		"HTTP/1.1 101 X\r\n":                       false,
		"HTTP/1.1 600 X\r\n":                       false,
		"HTTP/1.1 +20 X\r\n":                       false,
		"HTTP/1.1 2000 X\r\n":                      false,
		"HTTP/1.1  200 X\r\n":                      false,
		"HTTP/2.0 200 X\r\n":                       false,
		"\r\n":                                     false,
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 000 X\r\n": false,
		"HTTP/1.1 100 C\r\n\r\nbody\r\n":           false,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", maxLineBytes): false,
	} {
		for _, partBytes := range []int{1, 2, 7, len(text)} {
			err := check(text, partBytes)
			assert.Equal(t, err == nil, isSound, "%.80q in parts of %d bytes: %v", text, partBytes, err)
			if err != nil {
				assert.ErrorIs(t, err, ErrMalformed)
			}
		}
	}
}

// What no response is expected in is not checked, and a fault stays.
func TestOnlyExpectedResponsesAreChecked(t *testing.T) {
	var c Checker
	c.Observe([]byte("HTTP/1.1 000 X\r\n"))
	assert.NilError(t, c.Err())
	for range 2 {
		c.Expect()
		c.Observe([]byte("HTTP/1.1 200 OK\r\n\r\n bo: dy\r\n"))
		assert.NilError(t, c.Err())
	}
	c.Expect()
	c.Observe([]byte("HTTP/1.1 000 X\r\n"))
	c.Expect()
	c.Observe([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	assert.ErrorIs(t, c.Err(), ErrMalformed)
}
