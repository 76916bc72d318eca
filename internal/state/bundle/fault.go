package bundle

import (
	"fmt"
	"strings"
)

// Fault is one reason why a bundle is invalid.
type Fault struct {
	File    string // empty if the bundle was read from the store
	Section string // section of the file, for example "model tagger-large"
	Key     string // empty if the fault concerns the whole section
	Reason  string
}

// String returns the location of the fault and the reason.
func (f Fault) String() string {
	var text strings.Builder
	if f.File != "" {
		text.WriteString(f.File + ": ")
	}
	if f.Section != "" {
		fmt.Fprintf(&text, "[%s] ", f.Section)
	}
	if f.Key != "" {
		text.WriteString(f.Key + ": ")
	}
	return text.String() + f.Reason
}

// SectionFiles maps the sections of a bundle to the files that hold them.
type SectionFiles map[string]string

// FaultsError reports all faults of a bundle.
type FaultsError struct{ Faults []Fault }

// Error implements the error interface. It writes one fault per line.
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

// JoinFaults returns a *FaultsError with the given faults, or nil if there are none.
func JoinFaults(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}
