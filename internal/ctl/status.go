package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/status"
	"savoryweir/internal/transport/operations"
)

// StatusCommand shows the state of processes.
type StatusCommand struct {
	Operations []string `help:"Addresses of operations ports, IP address and port." required:"" placeholder:"ADDRESS"`
}

// Help implements kong's detailed help.
func (StatusCommand) Help() string {
	return `One line for each process. The exit code is 8 if a process does not answer, is not ready, or is
behind the latest generation among them, so that a script can wait for the end of a roll-out.

Example:
  savoryweirctl status --operations 10.0.1.11:7801,10.0.1.11:7802,10.0.2.11:7801`
}

// Run prints the table.
func (c *StatusCommand) Run(env *Environment) error {
	answers := fetchAll(env, c.Operations, operations.PathStatus, maxStatusBytes, decodeStatus)
	var latest bundle.Generation
	for _, a := range answers {
		latest = max(latest, a.value.Generation)
	}
	table := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tINSTANCE\tPROCESS\tZONE\tGENERATION\tBUNDLE\tREADY\tMEMBERS")
	uneven := 0
	for _, a := range answers {
		if a.err != nil || !a.value.Ready || a.value.Generation < latest {
			uneven++
		}
		fmt.Fprintln(table, statusLine(a))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if uneven > 0 {
		return &notUniformError{Count: uneven}
	}
	return nil
}

func decodeStatus(r io.Reader) (status.Status, error) {
	var s status.Status
	err := json.NewDecoder(r).Decode(&s)
	return s, err
}

func statusLine(a fetched[status.Status]) string {
	if a.err != nil {
		return fmt.Sprintf("%s\tno answer: %v", a.address, a.err)
	}
	s := a.value
	ready := "yes"
	if !s.Ready {
		ready = "no: " + s.NotReady
	}
	manifest := cmp.Or(s.Manifest, "-")
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s", a.address, s.Instance, s.Process, s.Zone,
		s.Generation, manifest[:min(len(manifest), shortHash)], ready, memberCounts(s.Members))
}

// memberCounts writes how many members are in each state.
func memberCounts(members []status.Member) string {
	counts := make(map[string]int)
	for _, m := range members {
		counts[m.State]++
	}
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}
