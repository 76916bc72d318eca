package reference_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	loggedEventPattern     = regexp.MustCompile(`Str\("event", "([a-z_.]+)"\)`)
	documentedEventPattern = regexp.MustCompile("`([a-z_]+(?:\\.[a-z_]+)?)`")
)

// TestOperationsPageListsAllLoggedEvents compares the first column of the event table in OPERATIONS.md with
// the event names that the code of the node logs. It fails when an event is missing from the table, or when the
// table names an event that the code no longer logs.
func TestOperationsPageListsAllLoggedEvents(t *testing.T) {
	logged := make(map[string]bool)
	err := filepath.WalkDir(filepath.Join("..", "node"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range loggedEventPattern.FindAllStringSubmatch(string(text), -1) {
			logged[match[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(text), "| event |")
	assert.Assert(t, found)
	var documentedEvents []string
	for line := range strings.SplitSeq(table, "\n") {
		columns := strings.Split(line, "|")
		if len(columns) < 3 {
			continue
		}
		for _, match := range documentedEventPattern.FindAllStringSubmatch(columns[1], -1) {
			documentedEvents = append(documentedEvents, match[1])
		}
	}
	var loggedEvents []string
	for name := range logged {
		loggedEvents = append(loggedEvents, name)
	}
	slices.Sort(loggedEvents)
	slices.Sort(documentedEvents)
	assert.DeepEqual(t, documentedEvents, loggedEvents)
}
