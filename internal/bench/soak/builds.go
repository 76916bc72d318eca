package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// ErrNoHistory means that the repository's history does not hold a commit.
var ErrNoHistory = errors.New("history does not hold the commit")

// BuildFormer builds savoryweir-node of a commit of the repository's history as the given file. It returns
// ErrNoHistory if the history does not hold the commit.
func BuildFormer(commit, program string) error {
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return fmt.Errorf("%w %s: find the repository: %w", ErrNoHistory, commit, err)
	}
	repository := strings.TrimSpace(string(top))
	if err := exec.Command("git", "-C", repository, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		return fmt.Errorf("%w %s: %w", ErrNoHistory, commit, err)
	}
	folder, err := os.MkdirTemp("", "soak-former")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	archive := filepath.Join(folder, "sources.tar")
	sources := filepath.Join(folder, "sources")
	if err := os.Mkdir(sources, 0o750); err != nil {
		return err
	}
	for _, command := range []*exec.Cmd{
		exec.Command("git", "-C", repository, "archive", "--output", archive, commit),
		exec.Command("tar", "-x", "-f", archive, "-C", sources),
		exec.Command("go", "build", "-buildvcs=false", "-o", program, "./cmd/savoryweir-node"),
	} {
		if command.Args[0] == "go" {
			command.Dir = sources
		}
		if output, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build commit %s: %s: %w: %s", commit, command.Args[0], err, output)
		}
	}
	return nil
}

// AddReplacements adds to a plan that all instances are replaced one after the other by the other build,
// so that both serve side by side for most of its length.
func AddReplacements(plan []Fault, instances int, length time.Duration) []Fault {
	plan = slices.Clone(plan)
	for n := range instances {
		plan = append(plan, Fault{At: length/8 + time.Duration(n)*length*3/4/time.Duration(instances), Kind: KindReplace, Target: n})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// builds returns the build that instances run at first and the one that replaces it: every second seed goes
// back from the present build to the former one.
func (o Options) builds() (first, second string) {
	switch {
	case o.Former == "":
		return o.Program, ""
	case o.Seed%2 == 0:
		return o.Former, o.Program
	default:
		return o.Program, o.Former
	}
}

// replace stops the instance and has it start again as another build.
func (i *instance) replace(program string) {
	i.mu.Lock()
	i.program = program
	i.mu.Unlock()
	i.terminate()
}
