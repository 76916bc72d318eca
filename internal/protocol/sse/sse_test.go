package sse

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestNextReturnsEventOrExpectedError(t *testing.T) {
	for _, test := range []struct {
		name, text string
		expected   Event
		err        error
	}{
		{"all fields", "event: e\nid: 3\ndata: a b\n\n", Event{ID: 3, Name: "e", Data: []byte("a b")}, nil},
		{"carriage returns and comment", ": c\r\ndata:x\r\n\r\n", Event{Data: []byte("x")}, nil},
		{"two data lines", "data: a\ndata: b\n\n", Event{Data: []byte("a\nb")}, nil},
		{"end of stream", "", Event{}, io.EOF},
		{"truncated field", "data: a", Event{}, ErrTruncated},
		{"truncated event", "data: a\n", Event{}, ErrTruncated},
		{"bad id", "id: -1\n\n", Event{}, ErrBadID},
		{"long line", "data: " + strings.Repeat("x", 200) + "\n\n", Event{}, ErrTooLarge},
		{"many lines", strings.Repeat("data: xxxxxxxx\n", 20) + "\n", Event{}, ErrTooLarge},
		{"endless comments", strings.Repeat(": xxxxxxxxx\n", 20) + "\n", Event{}, ErrTooLarge},
	} {
		got, err := NewReader(strings.NewReader(test.text), 100).Next()
		assert.Assert(t, errors.Is(err, test.err), "%s: %v", test.name, err)
		assert.DeepEqual(t, got, test.expected)
	}
}

func TestAppendedEventIsReadUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := Event{
			ID:   rapid.IntRange(0, 1<<30).Draw(rt, "id"),
			Name: rapid.StringMatching(`[a-z]{0,8}`).Draw(rt, "name"),
			Data: []byte(rapid.StringMatching(`[ -~]{1,64}`).Draw(rt, "data")),
		}
		got, err := NewReader(strings.NewReader(string(Append(nil, e))), 1<<10).Next()
		assert.NilError(rt, err)
		assert.Equal(rt, got.ID, e.ID)
		assert.Equal(rt, got.Name, e.Name)
		assert.Equal(rt, string(got.Data), string(e.Data))
	})
}
