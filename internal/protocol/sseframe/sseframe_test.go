package sseframe

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func scan(t *testing.T, r io.Reader, endKnown bool) (ids []string, whole string, err error) {
	t.Helper()
	s := NewScanner(r, endKnown)
	for {
		event, err := s.Next()
		if err != nil {
			return ids, whole, err
		}
		ids = append(ids, event.ID)
		whole += string(event.Raw)
	}
}

func TestEventsComeByteForByte(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nweight-versions: 3\nid: 4\ndata: c\n\n"
	ids, whole, err := scan(t, iotest.OneByteReader(strings.NewReader(text)), true)
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, ids, []string{"1", "2", "", "4"})
	assert.Equal(t, whole, text)
}

func TestAPartOfAnEventIsPassedOnOnlyWhereTheEndIsKnown(t *testing.T) {
	_, whole, err := scan(t, strings.NewReader("id: 1\n\nid: 2\nda"), true)
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, whole, "id: 1\n\nid: 2\nda")
	_, whole, err = scan(t, strings.NewReader("id: 1\n\nid: 2\nda"), false)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, whole, "id: 1\n\n")
	broken := errors.New("reset")
	_, whole, err = scan(t, io.MultiReader(strings.NewReader("id: 1\n\nid: 2\nda"), iotest.ErrReader(broken)), true)
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, whole, "id: 1\n\n")
}

func TestAnEndlessEventIsGivenUp(t *testing.T) {
	_, _, err := scan(t, strings.NewReader(strings.Repeat("x", 2*maxEventBytes)), true)
	assert.ErrorIs(t, err, errTooLarge)
}
