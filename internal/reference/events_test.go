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
	eventInCode = regexp.MustCompile(`Str\("event", "([a-z_.]+)"\)`)
	eventInPage = regexp.MustCompile("`([a-z_]+(?:\\.[a-z_]+)?)`")
)

// TestEventsOfThePageAreThoseOfTheCode compares the first column of the table of
// events with the events that the node's code logs.
func TestEventsOfThePageAreThoseOfTheCode(t *testing.T) {
	code := make(map[string]bool)
	err := filepath.WalkDir(filepath.Join("..", "node"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range eventInCode.FindAllStringSubmatch(string(text), -1) {
			code[match[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(text), "| event |")
	assert.Assert(t, found)
	var page []string
	for line := range strings.SplitSeq(table, "\n") {
		columns := strings.Split(line, "|")
		if len(columns) < 3 {
			continue
		}
		for _, match := range eventInPage.FindAllStringSubmatch(columns[1], -1) {
			page = append(page, match[1])
		}
	}
	var inCode []string
	for name := range code {
		inCode = append(inCode, name)
	}
	slices.Sort(inCode)
	slices.Sort(page)
	assert.DeepEqual(t, page, inCode)
}
