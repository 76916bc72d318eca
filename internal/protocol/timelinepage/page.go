// Package timelinepage writes a time line as one HTML page that needs no other
// resource. Each process has a lane, and the events stand in causal order.
package timelinepage

import (
	_ "embed" // holds the template
	"fmt"
	"html/template"
	"io"
	"strings"

	"savoryweir/internal/protocol/timelinefile"
	"savoryweir/internal/state/timeline"
)

// MaxEvents is the largest number of events on a page.
const MaxEvents = 10000

//go:embed page.html.tmpl
var source string

var page = template.Must(template.New("page").Parse(source))

// row is one event on the page.
type row struct {
	timeline.Event
	Column  int // of the lane, from 2
	Clock   string
	Details string
	Group   string // first part of the kind
}

// content is what the template shows.
type content struct {
	Lanes   []timeline.Lane
	Rows    []row
	Omitted int
}

// Write writes the page. The latest events are kept when there are too many.
func Write(w io.Writer, events []timeline.Event) error {
	omitted := max(len(events)-MaxEvents, 0)
	events = events[omitted:]
	c := content{Lanes: timeline.Lanes(events), Omitted: omitted}
	columns := make(map[timeline.Lane]int)
	for i, lane := range c.Lanes {
		columns[lane] = i + 2
	}
	for _, e := range events {
		group, _, _ := strings.Cut(string(e.Kind), ".")
		c.Rows = append(c.Rows, row{
			Event: e, Column: columns[e.Lane()], Clock: timelinefile.FormatTime(e),
			Details: timelinefile.FormatDetails(e), Group: group,
		})
	}
	if err := page.Execute(w, c); err != nil {
		return fmt.Errorf("write time line page: %w", err)
	}
	return nil
}
