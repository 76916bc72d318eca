package timelinefile

import (
	"fmt"
	"io"
	"strings"
	"time"

	"savoryweir/internal/state/timeline"
)

// timeFormat shows date and time to the millisecond.
const timeFormat = "2006-01-02 15:04:05.000"

// FormatTime returns the time of an event in UTC, followed by its logical counter.
func FormatTime(e timeline.Event) string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(e.Time.WallMillis).UTC().Format(timeFormat), e.Time.Logical)
}

// FormatDetails returns the fields of an event that are not empty as NAME=VALUE, and
// the quoted note after them. It leaves out the time, kind and process.
func FormatDetails(e timeline.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", e.Request)
	add("order", e.Order)
	add("upstream", e.Upstream)
	add("model", e.Model)
	if e.Generation > 0 {
		add("generation", fmt.Sprint(e.Generation))
	}
	if e.Note != "" {
		parts = append(parts, fmt.Sprintf("%q", e.Note))
	}
	return strings.Join(parts, " ")
}

// WriteText writes each event as one line of text, with the lanes padded to equal width.
func WriteText(w io.Writer, events []timeline.Event) error {
	width := 0
	for _, lane := range timeline.Lanes(events) {
		width = max(width, len(lane.String()))
	}
	for _, e := range events {
		line := fmt.Sprintf("%s  %-*s  %-20s  %s", FormatTime(e), width, e.Lane(), e.Kind, FormatDetails(e))
		if _, err := fmt.Fprintln(w, strings.TrimRight(line, " ")); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}
