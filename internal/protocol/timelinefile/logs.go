package timelinefile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/timeline"
)

// logLine is one line of a process's log. Lines without an event are not part of the
// timeline.
type logLine struct {
	Time     time.Time     `json:"time"`
	Process  string        `json:"process"`
	Instance string        `json:"instance"`
	Zone     string        `json:"zone"`
	Event    timeline.Kind `json:"event"`
	Request  string        `json:"request"`
	Upstream string        `json:"upstream"`
	Model    string        `json:"model"`
	// Version is the number of a configuration, or the text of a version of the store.
	Version json.RawMessage `json:"version"`
	Config  uint64          `json:"config"`
}

// generation returns the number of the configuration that a line is about, zero if it names
// none.
func (l logLine) generation() uint64 {
	number, err := strconv.ParseUint(string(l.Version), 10, 64)
	if err != nil {
		return l.Config
	}
	return max(number, l.Config)
}

// ReadLog reads the events of a saved log. It skips the text before the first brace of
// a line, which log collectors add, and lines that hold no event or were written by
// other programs. The logical counter of each event is its index, so that the events of
// one process keep the order of its lines.
func ReadLog(r io.Reader) ([]timeline.Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, MaxLineBytes)
	var events []timeline.Event
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if e, ok := readLogLine(scanner.Bytes()[start:]); ok {
			e.Time.Logical = uint32(len(events))
			events = append(events, e)
		}
	}
	return events, scanner.Err()
}

// readLogLine returns the event of a log line, or false if the line holds none.
func readLogLine(text []byte) (timeline.Event, bool) {
	var line logLine
	fields := make(map[string]any)
	if json.Unmarshal(text, &line) != nil || line.Event == "" || json.Unmarshal(text, &fields) != nil {
		return timeline.Event{}, false
	}
	e := timeline.Event{
		Time: hlc.Timestamp{WallMillis: line.Time.UnixMilli()}, Process: line.Process, Instance: line.Instance, Zone: line.Zone,
		Kind: line.Event, Request: line.Request, Upstream: line.Upstream, Model: line.Model, Generation: line.generation(),
	}
	e.Note = formatNote(fields)
	return e, true
}

// eventFields are the log fields that have a field of their own in an event, or that the
// timeline leaves out.
var eventFields = []string{"time", "process", "instance", "zone", "event", "request", "upstream", "model", "config", "level", "message", "part"}

// versionField is left out of the note unless it holds the text of a version of the store.
const versionField = "version"

// formatNote returns the remaining fields of a log line as a JSON object, sorted by name.
// It returns an empty string if there are none.
func formatNote(fields map[string]any) string {
	for _, name := range eventFields {
		delete(fields, name)
	}
	if _, isText := fields[versionField].(string); !isText {
		delete(fields, versionField)
	}
	text, err := json.Marshal(fields)
	if err != nil || len(fields) == 0 {
		return ""
	}
	return string(text)
}
