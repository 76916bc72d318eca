package bundlefile

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"savoryweir/internal/state/bundle"
)

// Upper bounds of numbers, which keep sums of them within 64 bits.
const (
	maxMemoryMiB    = 1 << 30
	maxAccelerators = 1 << 16
	maxBatch        = 1 << 16
	maxReplicas     = 1 << 16
)

// maxNameBytes is the length of the longest name of an entity.
const maxNameBytes = 128

// The characters that names and values may hold beside letters and digits. A value
// may also start with / or with the [ of an IPv6 address.
const (
	nameMarks  = "._/-"
	valueMarks = "._/:,] -"
	valueStart = "[/"
)

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && isPlain(name[0]) && holdsOnly(name, nameMarks)
}

func validValue(value string) bool {
	if value == "" || !isPlain(value[0]) && !strings.ContainsRune(valueStart, rune(value[0])) {
		return false
	}
	return holdsOnly(value[1:], valueMarks)
}

func holdsOnly(text, marks string) bool {
	for i := range len(text) {
		if !isPlain(text[i]) && strings.IndexByte(marks, text[i]) < 0 {
			return false
		}
	}
	return true
}

func isPlain(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// reader takes the keys of one INI section and collects the faults.
type reader struct {
	file    string
	section string
	values  map[string]string
	taken   []string
	faults  []bundle.Fault
}

func newReader(file string, section *ini.Section) *reader {
	r := &reader{file: file, section: section.Name(), values: make(map[string]string)}
	for _, key := range section.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			r.fault(key.Name(), "the key stands twice")
		}
		value := key.Value()
		if !validValue(value) {
			r.fault(key.Name(), "the value must be letters, digits, spaces or . _ / : , - [ ] and not be empty")
			r.taken = append(r.taken, key.Name())
			continue
		}
		r.values[key.Name()] = value
	}
	return r
}

func (r *reader) fault(key, reason string) {
	r.faults = append(r.faults, bundle.Fault{File: r.file, Section: r.section, Key: key, Reason: reason})
}

// take returns the value of a key and reports whether it can be read.
func (r *reader) take(key string) (string, bool) {
	if slices.Contains(r.taken, key) {
		return "", false
	}
	r.taken = append(r.taken, key)
	value, ok := r.values[key]
	return value, ok
}

// require is take with a fault for a missing key.
func (r *reader) require(key string) (string, bool) {
	reported := slices.Contains(r.taken, key)
	value, ok := r.take(key)
	if !ok && !reported {
		r.fault(key, "the key is missing")
	}
	return value, ok
}

func (r *reader) text(key string) string {
	value, _ := r.require(key)
	return value
}

func (r *reader) list(key string) []string {
	value, ok := r.require(key)
	if !ok {
		return nil
	}
	return splitList(value)
}

func (r *reader) optionalList(key string) []string {
	value, ok := r.take(key)
	if !ok {
		return nil
	}
	return splitList(value)
}

func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (r *reader) duration(key string) time.Duration {
	value, ok := r.require(key)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		r.fault(key, fmt.Sprintf("%q is no duration such as 500ms or 30s", value))
	}
	return d
}

func (r *reader) number(key string, limit int64) int64 {
	value, ok := r.require(key)
	if !ok {
		return 0
	}
	return r.parseNumber(key, value, limit)
}

func (r *reader) optionalNumber(key string, limit int64) int64 {
	value, ok := r.take(key)
	if !ok {
		return 0
	}
	return r.parseNumber(key, value, limit)
}

func (r *reader) parseNumber(key, value string, limit int64) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > limit {
		r.fault(key, fmt.Sprintf("%q is no whole number from 0 to %d", value, limit))
		return 0
	}
	return n
}

func (r *reader) optionalBool(key string) bool {
	value, ok := r.take(key)
	if ok && value != "true" && value != "false" {
		r.fault(key, fmt.Sprintf("%q is neither true nor false", value))
	}
	return value == "true"
}

func (r *reader) rejectUnknown() {
	for key := range r.values {
		if !slices.Contains(r.taken, key) {
			r.fault(key, "the key is unknown")
		}
	}
	slices.SortFunc(r.faults, func(a, b bundle.Fault) int { return strings.Compare(a.Key, b.Key) })
}
