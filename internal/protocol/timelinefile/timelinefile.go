// Package timelinefile reads and writes timelines as JSON lines with one event per
// line. It also writes them as text and reads events from process logs.
package timelinefile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"savoryweir/internal/state/timeline"
)

// ContentType is the media type of JSON lines.
const ContentType = "application/x-ndjson"

// Limits of the input.
const (
	// MaxLineBytes is the maximum length of a line.
	MaxLineBytes = 64 << 10
	// MaxEvents is the maximum number of events in one file.
	MaxEvents = 1 << 20
)

// Write writes events as JSON lines.
func Write(w io.Writer, events []timeline.Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return buffered.Flush()
}

// Read reads events from JSON lines and skips empty lines. It returns an error with the
// line number at the first line that is not an event.
func Read(r io.Reader) ([]timeline.Event, error) {
	var events []timeline.Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, MaxLineBytes)
	for line := 1; scanner.Scan(); line++ {
		data := bytes.TrimSpace(scanner.Bytes())
		if len(data) == 0 {
			continue
		}
		if len(events) == MaxEvents {
			return nil, fmt.Errorf("line %d: more than %d events", line, MaxEvents)
		}
		var e timeline.Event
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("line %d is not an event: %w", line, err)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read timeline: %w", err)
	}
	return events, nil
}
