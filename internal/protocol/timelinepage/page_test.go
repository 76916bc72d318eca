package timelinepage

import (
	"regexp"
	"strings"
	"testing"

	"golang.org/x/net/html"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/timeline"
)

func render(t *testing.T, events []timeline.Event) string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, Write(&text, events))
	return text.String()
}

func TestPageShowsLanesAndEventsInOrder(t *testing.T) {
	text := render(t, []timeline.Event{
		{Time: hlc.Timestamp{WallMillis: 1}, Instance: "i2", Process: "control", Kind: timeline.KindBundleHeard, Generation: 4},
		{Time: hlc.Timestamp{WallMillis: 2}, Instance: "i1", Process: "entry", Kind: timeline.KindRequestReceived, Request: "r1"},
	})
	assert.Check(t, is.Contains(text, `<span>i1/entry</span><span>i2/control</span>`))
	heard, received := strings.Index(text, "<b>bundle.heard</b>"), strings.Index(text, "<b>request.received</b>")
	assert.Assert(t, heard > 0 && received > heard)
	assert.Check(t, is.Contains(text, `style="grid-column: 3"><b>bundle.heard`))
	assert.Check(t, is.Contains(text, `data-generation="4"`))
}

func TestPageReferencesNoOtherResource(t *testing.T) {
	text := render(t, nil)
	assert.Assert(t, !regexp.MustCompile(`(src|href)=|url\(|@import|https?://`).MatchString(text))
}

// Event fields may contain text from callers. Such text must not add a script to the page.
func TestEventTextIsEscaped(t *testing.T) {
	attack := `"><script>alert(1)</script>`
	text := render(t, []timeline.Event{{Kind: timeline.Kind(attack), Request: attack, Note: attack, Instance: attack}})
	scripts := 0
	document, err := html.Parse(strings.NewReader(text))
	assert.NilError(t, err)
	for node := range document.Descendants() {
		if node.Type == html.ElementNode && node.Data == "script" {
			scripts++
		}
	}
	assert.Equal(t, scripts, 1)
}

func TestPageShowsAtMostMaxEvents(t *testing.T) {
	text := render(t, make([]timeline.Event, MaxEvents+3))
	assert.Check(t, is.Contains(text, "3 earlier events were left out"))
}
