package sseframe

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// scanAll returns the IDs and the joined bytes of all events, and the error that ended
// the scan.
func scanAll(t *testing.T, r io.Reader) (ids []string, text string, err error) {
	t.Helper()
	s := NewScanner(r)
	for {
		event, err := s.Next()
		if err != nil {
			return ids, text, err
		}
		ids = append(ids, event.ID)
		text += string(event.Raw)
	}
}

func TestEventsAreReturnedUnchanged(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nweight-versions: 3\nid: 4\ndata: c\n\n"
	ids, text, err := scanAll(t, iotest.OneByteReader(strings.NewReader(stream)))
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, ids, []string{"1", "2", "", "4"})
	assert.Equal(t, text, stream)
}

// The end of a body doesn't show whether its last event is whole, whatever the framing. A half event that is
// passed on can't be continued at another engine without a gap or a second copy.
func TestStreamThatEndsInsideAnEventIsTruncated(t *testing.T) {
	for _, breaks := range []string{"\n", "\r\n", "\r"} {
		first, second := "id: 1"+breaks+"data: a"+breaks+breaks, "id: 2"+breaks+"data: b"+breaks+breaks
		for cut := 1; cut < len(second); cut++ {
			_, text, err := scanAll(t, strings.NewReader(first+second[:cut]))
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", second[:cut])
			assert.Equal(t, text, first)
		}
		ids, text, err := scanAll(t, iotest.OneByteReader(strings.NewReader(first+second)))
		assert.Equal(t, err, io.EOF)
		assert.Equal(t, text, first+second)
		assert.DeepEqual(t, ids, []string{"1", "2"})
	}
	broken := errors.New("reset")
	_, text, err := scanAll(t, io.MultiReader(strings.NewReader("id: 1\n\nid: 2\nda"), iotest.ErrReader(broken)))
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, text, "id: 1\n\n")
}

// No event has begun in comments and blank lines after the last event.
func TestStreamMayEndWithCommentsAndBlankLines(t *testing.T) {
	for rest, want := range map[string]error{
		"": io.EOF, "\n": io.EOF, ": ping\n": io.EOF, ": ping\r\n": io.EOF, "\n: ping\n": io.EOF,
		": pi": io.ErrUnexpectedEOF, ": ping\nda": io.ErrUnexpectedEOF,
	} {
		_, text, err := scanAll(t, strings.NewReader("id: 1\n\n"+rest))
		assert.Equal(t, err, want, "%q", rest)
		assert.Equal(t, text == "id: 1\n\n"+rest, want == io.EOF, "%q", rest)
	}
}

func TestLineBreaksMayBeMixed(t *testing.T) {
	stream := "id: 1\n\r\nid: 2\n\rid: 3\r\rid: 4\r\n\n"
	ids, text, err := scanAll(t, iotest.OneByteReader(strings.NewReader(stream)))
	assert.Equal(t, err, io.EOF)
	assert.DeepEqual(t, ids, []string{"1", "2", "3", "4"})
	assert.Equal(t, text, stream)
}

func TestOversizedEventIsRejected(t *testing.T) {
	_, _, err := scanAll(t, strings.NewReader(strings.Repeat("x", 2*maxEventBytes)))
	assert.ErrorIs(t, err, errEventTooLarge)
}
