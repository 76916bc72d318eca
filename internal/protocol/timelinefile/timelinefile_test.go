package timelinefile

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/timeline"
)

var events = []timeline.Event{
	{Time: hlc.Timestamp{WallMillis: 1}, Process: "entry", Instance: "i1", Zone: "z", Kind: timeline.KindRequestReceived, Request: "r1"},
	{Time: hlc.Timestamp{WallMillis: 1, Logical: 2}, Process: "control", Instance: "i10", Kind: timeline.KindBundleInForce, Generation: 3, Note: "a \"note\""},
}

func TestEventsSurviveWriteAndRead(t *testing.T) {
	var buffer bytes.Buffer
	assert.NilError(t, Write(&buffer, events))
	buffer.WriteString("\n\n")
	read, err := Read(&buffer)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, events)
}

func TestReadReportsNumberOfInvalidLine(t *testing.T) {
	_, err := Read(strings.NewReader("{}\n\n{\"time\":3}\n"))
	assert.ErrorContains(t, err, "line 3 is not an event")
	_, err = Read(strings.NewReader(strings.Repeat("x", MaxLineBytes+1)))
	assert.ErrorContains(t, err, "token too long")
}

func TestWriteTextAlignsColumns(t *testing.T) {
	var buffer bytes.Buffer
	assert.NilError(t, WriteText(&buffer, events))
	assert.Equal(t, buffer.String(), ""+
		"1970-01-01 00:00:00.001+0  z/i1/entry   request.received      request=r1\n"+
		"1970-01-01 00:00:00.001+2  i10/control  bundle.in_force       generation=3 \"a \\\"note\\\"\"\n")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"time":{"wall_ms":1},"kind":"bundle.in_force","generation":2}`))
	f.Add([]byte("{}\n{\"time\":{\"logical\":-1}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var buffer bytes.Buffer
		assert.NilError(t, Write(&buffer, read))
		assert.NilError(t, WriteText(&buffer, read))
	})
}

// Lines about the store carry its version as text. They must not be left out of the timeline
// of an outage like lines of other programs.
func TestLinesWithStoreVersionAreRead(t *testing.T) {
	read, err := ReadLog(strings.NewReader(`{"event":"store.lost","instance":"i1","version":"2.1005"}
{"event":"config.applied","instance":"i1","version":7,"revision":"2.1006"}
`))
	assert.NilError(t, err)
	assert.Equal(t, len(read), 2)
	assert.Equal(t, read[0].Note, `{"version":"2.1005"}`)
	assert.Equal(t, read[0].Generation, uint64(0))
	assert.Equal(t, read[1].Generation, uint64(7))
	assert.Equal(t, read[1].Note, `{"revision":"2.1006"}`)
}
