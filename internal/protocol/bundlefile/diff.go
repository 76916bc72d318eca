package bundlefile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"savoryweir/internal/state/bundle"
)

// Change is one difference between two bundles.
type Change struct {
	Section string
	Key     string // empty when the whole section is new or gone
	Old     string // empty when there was none
	New     string // empty when there is none
}

// String describes the change in a line.
func (c Change) String() string {
	switch {
	case c.Key == "" && c.Old == "":
		return "+ [" + c.Section + "]"
	case c.Key == "":
		return "- [" + c.Section + "]"
	default:
		return fmt.Sprintf("~ [%s] %s: %s -> %s", c.Section, c.Key, orNothing(c.Old), orNothing(c.New))
	}
}

func orNothing(value string) string {
	if value == "" {
		return "(nothing)"
	}
	return value
}

// keyValues are the values of one INI section by key.
type keyValues map[string]string

// Diff returns the differences between two bundles in section and key order.
func Diff(from, to *bundle.Bundle) []Change {
	before, after := valuesOf(from), valuesOf(to)
	var changes []Change
	for _, section := range sortedKeys(before, after) {
		old, had := before[section]
		now, has := after[section]
		switch {
		case !had:
			changes = append(changes, Change{Section: section, New: section})
		case !has:
			changes = append(changes, Change{Section: section, Old: section})
		default:
			changes = append(changes, diffSection(section, old, now)...)
		}
	}
	return changes
}

func diffSection(section string, old, now keyValues) []Change {
	var changes []Change
	for _, key := range sortedKeys(old, now) {
		if old[key] != now[key] {
			changes = append(changes, Change{Section: section, Key: key, Old: old[key], New: now[key]})
		}
	}
	return changes
}

func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

func valuesOf(b *bundle.Bundle) map[string]keyValues {
	sections := make(map[string]keyValues)
	if b == nil {
		return sections
	}
	for _, file := range Texts(b) {
		var values keyValues
		for line := range strings.Lines(string(file.Data)) {
			line = strings.TrimSuffix(line, "\n")
			if key, value, ok := strings.Cut(line, " = "); ok {
				values[key] = value
			} else if name, ok := strings.CutPrefix(line, "["); ok {
				values = make(keyValues)
				sections[strings.TrimSuffix(name, "]")] = values
			}
		}
	}
	return sections
}
