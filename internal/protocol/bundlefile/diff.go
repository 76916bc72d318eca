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
	Key     string // empty if the whole section was added or removed
	Old     string // previous value; empty if there was none
	New     string // new value; empty if there is none
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch {
	case c.Key == "" && c.Old == "":
		return "+ [" + c.Section + "]"
	case c.Key == "":
		return "- [" + c.Section + "]"
	default:
		return fmt.Sprintf("~ [%s] %s: %s -> %s", c.Section, c.Key, valueOrNothing(c.Old), valueOrNothing(c.New))
	}
}

func valueOrNothing(value string) string {
	if value == "" {
		return "(nothing)"
	}
	return value
}

// keyValues maps the keys of an INI section to their values.
type keyValues map[string]string

// Diff returns the differences between two bundles, sorted by section and key. A nil bundle is
// empty.
func Diff(from, to *bundle.Bundle) []Change {
	before, after := valuesBySection(from), valuesBySection(to)
	var changes []Change
	for _, section := range sortedKeys(before, after) {
		oldValues, inBefore := before[section]
		newValues, inAfter := after[section]
		switch {
		case !inBefore:
			changes = append(changes, Change{Section: section, New: section})
		case !inAfter:
			changes = append(changes, Change{Section: section, Old: section})
		default:
			changes = append(changes, diffSection(section, oldValues, newValues)...)
		}
	}
	return changes
}

func diffSection(section string, oldValues, newValues keyValues) []Change {
	var changes []Change
	for _, key := range sortedKeys(oldValues, newValues) {
		if oldValues[key] != newValues[key] {
			changes = append(changes, Change{Section: section, Key: key, Old: oldValues[key], New: newValues[key]})
		}
	}
	return changes
}

func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

func valuesBySection(b *bundle.Bundle) map[string]keyValues {
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
