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
func scanAll(t *testing.T, r io.Reader, hasKnownEnd bool) (ids []string, text string, err error) {
	t.Helper()
	s := NewScanner(r, hasKnownEnd)
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
	ids, text, err := scanAll(t, iotest.OneByteReader(strings.NewReader(stream)), true)
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, ids, []string{"1", "2", "", "4"})
	assert.Equal(t, text, stream)
}

// An upstream may end the stream without the blank line after the last event. Without a
// known end such a stream can't be told from a truncated one, so the partial event must
// not be forwarded then.
func TestPartialEventIsReturnedOnlyIfEndIsKnown(t *testing.T) {
	_, text, err := scanAll(t, strings.NewReader("id: 1\n\nid: 2\nda"), true)
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, text, "id: 1\n\nid: 2\nda")
	_, text, err = scanAll(t, strings.NewReader("id: 1\n\nid: 2\nda"), false)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, text, "id: 1\n\n")
	broken := errors.New("reset")
	_, text, err = scanAll(t, io.MultiReader(strings.NewReader("id: 1\n\nid: 2\nda"), iotest.ErrReader(broken)), true)
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, text, "id: 1\n\n")
}

func TestOversizedEventIsRejected(t *testing.T) {
	_, _, err := scanAll(t, strings.NewReader(strings.Repeat("x", 2*maxEventBytes)), true)
	assert.ErrorIs(t, err, errEventTooLarge)
}
