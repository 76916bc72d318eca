// Package timelinepage writes a timeline as one self-contained HTML page. Each process
// has a column, its lane, and the rows show the events in causal order.
package timelinepage

import (
	_ "embed" // embeds the template
	"fmt"
	"html/template"
	"io"
	"strings"

	"savoryweir/internal/protocol/timelinefile"
	"savoryweir/internal/state/timeline"
)

// MaxEvents is the maximum number of events on a page.
const MaxEvents = 10000

//go:embed page.html.tmpl
var templateText string

var page = template.Must(template.New("page").Parse(templateText))

// row is one event on the page.
type row struct {
	timeline.Event
	Column  int // grid column of the event's lane; column 1 shows the time
	Clock   string
	Details string
	Group   string // part of the kind before the dot, used as CSS class
}

// content is the data of the template.
type content struct {
	Lanes   []timeline.Lane
	Rows    []row
	Omitted int // number of events that were left out
}

// Write writes the page. If there are more than MaxEvents events, it shows the latest
// ones and states how many were left out.
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
		return fmt.Errorf("write timeline page: %w", err)
	}
	return nil
}
