package responsehead

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
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
		"HTTP/1.1 200 OK\r\nA B":                                     true, // may go on
		"HTTP/1.1 000 X\r\n":                                         false,
		"HTTP/1.1 099 X\r\n":                                         false,
		"HTTP/1.1 101 X\r\n":                                         false,
		"HTTP/1.1 600 X\r\n":                                         false,
		"HTTP/1.1 +20 X\r\n":                                         false,
		"HTTP/1.1 2000 X\r\n":                                        false,
		"HTTP/1.1  200 X\r\n":                                        false,
		"HTTP/2.0 200 X\r\n":                                         false,
		"\r\n":                                                       false,
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 000 X\r\n":                   false,
		"HTTP/1.1 100 C\r\n\r\nbody\r\n":                             false,
		"HTTP/1.1 200 OK\r\nA : b\r\n":                               false,
		"HTTP/1.1 200 OK\r\nA b: c\r\n":                              false,
		"HTTP/1.1 200 OK\r\n A: b\r\n":                               false,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n":                          false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n":                      false,
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\n":                           false,
		"HTTP/1.1 200 OK\r\nA\x00: b\r\n":                            false,
		"HTTP/1.1 200 OK\r\n\x7f: b\r\n":                             false,
		"HTTP/1.1 200 OK\r\n\xc3\xa4: b\r\n":                         false,
		"HTTP/1.1 200 OK\r\n: b\r\n":                                 false,
		"HTTP/1.1 200 OK\r\nA\r\n":                                   false,
		"HTTP/1.1 200 OK\r\nA: \x00b\r\n":                            false,
		"HTTP/1.1 200 OK\r\nA\rB: c\r\n":                             false,
		"HTTP/1.1 103 E\r\nA b: c\r\n":                               false,
		"HTTP/1.0 200 OK\r\nTRANSFER-encoding: chunked\r\n":          false,
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

// A head that passes both the checker and net/http holds valid names and a valid status only, and the checker finds the
// same whatever parts it arrives in.
func TestHeadsThatPassHoldValidNamesAndStatusOnly(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, 0))
	pieces := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 103 E\r\n", "HTTP/1.1 ", "000", "200", " ", "\t", "\r\n", "\n", "\r", ":", "A", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "\x00", "b: c\r\n", "\r\n\r\n"}
	passed := 0
	for range 20000 {
		text := pieces[random.IntN(3)]
		for range random.IntN(8) {
			text += pieces[random.IntN(len(pieces))]
		}
		text += "\r\n\r\n"
		err := check(text, len(text))
		assert.Equal(t, err == nil, check(text, 1+random.IntN(5)) == nil, "%q, seed %d", text, seed)
		response, readErr := readFinal(text)
		if err != nil || readErr != nil {
			continue
		}
		passed++
		assert.NilError(t, CheckStatus(response.StatusCode), "%q, seed %d", text, seed)
		for name := range response.Header {
			assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q, seed %d", text, seed)
		}
	}
	assert.Assert(t, passed > 100, "%d heads passed, seed %d", passed, seed)
}

// readFinal reads the head of the first response that is not informational.
func readFinal(text string) (*http.Response, error) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}
