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

// Largest values of numbers. They keep sums of the numbers within 64 bits.
const (
	maxMemoryMiB    = 1 << 30
	maxAccelerators = 1 << 16
	maxBatch        = 1 << 16
	maxReplicas     = 1 << 16
)

// maxNameBytes is the largest length of the name of an entity.
const maxNameBytes = 128

// Characters that names and values may contain besides letters and digits. A name must start with
// a letter or digit. A value may also start with / or with the [ of an IPv6 address.
const (
	namePunctuation       = "._/-"
	valuePunctuation      = "._/:,] -"
	valueStartPunctuation = "[/"
)

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && isLetterOrDigit(name[0]) && containsOnly(name, namePunctuation)
}

func validValue(value string) bool {
	if value == "" || !isLetterOrDigit(value[0]) && !strings.ContainsRune(valueStartPunctuation, rune(value[0])) {
		return false
	}
	return containsOnly(value[1:], valuePunctuation)
}

func containsOnly(text, punctuation string) bool {
	for i := range len(text) {
		if !isLetterOrDigit(text[i]) && strings.IndexByte(punctuation, text[i]) < 0 {
			return false
		}
	}
	return true
}

func isLetterOrDigit(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// reader reads the values of one INI section by key and collects the faults.
type reader struct {
	file     string
	section  string
	values   map[string]string
	usedKeys []string
	faults   []bundle.Fault
}

func newReader(file string, section *ini.Section) *reader {
	r := &reader{file: file, section: section.Name(), values: make(map[string]string)}
	for _, key := range section.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			r.addFault(key.Name(), "the key is defined twice")
		}
		value := key.Value()
		if !validValue(value) {
			r.addFault(key.Name(), "the value must consist of letters, digits, spaces or . _ / : , - [ ] and must not be empty")
			r.usedKeys = append(r.usedKeys, key.Name())
			continue
		}
		r.values[key.Name()] = value
	}
	return r
}

func (r *reader) addFault(key, reason string) {
	r.faults = append(r.faults, bundle.Fault{File: r.file, Section: r.section, Key: key, Reason: reason})
}

// lookup returns the value of a key. It returns false if the key is missing, was read before or has
// an invalid value, which newReader has reported.
func (r *reader) lookup(key string) (string, bool) {
	if slices.Contains(r.usedKeys, key) {
		return "", false
	}
	r.usedKeys = append(r.usedKeys, key)
	value, ok := r.values[key]
	return value, ok
}

// require returns the value of a key like lookup, and reports a fault if the key is missing.
func (r *reader) require(key string) (string, bool) {
	reported := slices.Contains(r.usedKeys, key)
	value, ok := r.lookup(key)
	if !ok && !reported {
		r.addFault(key, "the key is missing")
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
	value, ok := r.lookup(key)
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
		r.addFault(key, fmt.Sprintf("%q is not a duration such as 500ms or 30s", value))
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
	value, ok := r.lookup(key)
	if !ok {
		return 0
	}
	return r.parseNumber(key, value, limit)
}

func (r *reader) parseNumber(key, value string, limit int64) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > limit {
		r.addFault(key, fmt.Sprintf("%q is not a whole number from 0 to %d", value, limit))
		return 0
	}
	return n
}

func (r *reader) optionalBool(key string) bool {
	value, ok := r.lookup(key)
	if ok && value != "true" && value != "false" {
		r.addFault(key, fmt.Sprintf("%q is neither true nor false", value))
	}
	return value == "true"
}

func (r *reader) rejectUnknownKeys() {
	for key := range r.values {
		if !slices.Contains(r.usedKeys, key) {
			r.addFault(key, "the key is unknown")
		}
	}
	slices.SortFunc(r.faults, func(a, b bundle.Fault) int { return strings.Compare(a.Key, b.Key) })
}
