package timelinefile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/timeline"
)

// logLine is a line of a process's log. Lines without an event are no part of the
// time line.
type logLine struct {
	Time     time.Time     `json:"time"`
	Process  string        `json:"process"`
	Instance string        `json:"instance"`
	Zone     string        `json:"zone"`
	Event    timeline.Kind `json:"event"`
	Request  string        `json:"request"`
	Upstream string        `json:"upstream"`
	Model    string        `json:"model"`
	Version  uint64        `json:"version"`
	Config   uint64        `json:"config"`
}

// ReadLog reads the events of a saved log. What stands before the first brace of a
// line, as log collectors put it there, is skipped, and so are lines of others.
// Events of one process keep the order of its lines.
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

func readLogLine(text []byte) (timeline.Event, bool) {
	var line logLine
	fields := make(map[string]any)
	if json.Unmarshal(text, &line) != nil || line.Event == "" || json.Unmarshal(text, &fields) != nil {
		return timeline.Event{}, false
	}
	e := timeline.Event{
		Time: hlc.Timestamp{WallMillis: line.Time.UnixMilli()}, Process: line.Process, Instance: line.Instance, Zone: line.Zone,
		Kind: line.Event, Request: line.Request, Upstream: line.Upstream, Model: line.Model, Generation: max(line.Version, line.Config),
	}
	e.Note = note(fields)
	return e, true
}

// shown are the fields that stand in an event by themselves.
var shown = []string{"time", "process", "instance", "zone", "event", "request", "upstream", "model", "version", "config", "level", "message", "part"}

// note writes the other fields of a line, in the order of their names.
func note(fields map[string]any) string {
	for _, name := range shown {
		delete(fields, name)
	}
	text, err := json.Marshal(fields)
	if err != nil || len(fields) == 0 {
		return ""
	}
	return string(text)
}
