package bundle

import (
	"fmt"
	"strings"
)

// Fault is one reason to refuse a bundle.
type Fault struct {
	File    string // empty for a bundle that was read from the store
	Section string // section of the file, for example "model tagger-large"
	Key     string // empty when the whole section is at fault
	Reason  string
}

// String names the place and the reason.
func (f Fault) String() string {
	var place strings.Builder
	if f.File != "" {
		place.WriteString(f.File + ": ")
	}
	if f.Section != "" {
		fmt.Fprintf(&place, "[%s] ", f.Section)
	}
	if f.Key != "" {
		place.WriteString(f.Key + ": ")
	}
	return place.String() + f.Reason
}

// SectionFiles maps the sections of a bundle to the files that hold them.
type SectionFiles map[string]string

// FaultsError lists all faults of a bundle.
type FaultsError struct{ Faults []Fault }

// Error implements the error interface with one fault a line.
func (e *FaultsError) Error() string {
	lines := []string{fmt.Sprintf("the bundle has %d faults", len(e.Faults))}
	if len(e.Faults) == 1 {
		lines[0] = "the bundle has 1 fault"
	}
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// JoinFaults returns a *FaultsError with the faults, or nil if there is none.
func JoinFaults(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}
