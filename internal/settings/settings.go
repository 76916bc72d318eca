// Package settings reads the command line, environment and INI file of a
// process and checks all values before the process starts.
//
// A process describes its settings by a struct with kong tags. An embedded
// struct with a prefix such as "queue-" becomes the INI section [queue].
// Numbers and durations may carry the tags min and max. Command-line flags go
// before environment variables, which go before the file.
package settings

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"gopkg.in/ini.v1"
)

// Version is the version of all binaries.
const Version = "0.1.0"

// EnvironmentPrefix starts the names of all environment variables that are read.
const EnvironmentPrefix = "SAVORYWEIR"

const settingsFlag = "settings"

// Common holds the flags that each process has.
type Common struct {
	Settings      string           `help:"INI file with settings." type:"path" placeholder:"FILE"`
	CheckSettings bool             `help:"Check all settings, print the faults and exit."`
	Version       kong.VersionFlag `help:"Print the version and exit."`
}

// Instance tells a process where it runs.
type Instance struct {
	ID      string `help:"Identifier of this instance, unique in the deployment." required:""`
	Zone    string `help:"Availability zone of this instance." required:""`
	Address string `help:"IP address of this instance." default:"127.0.0.1"`
}

// Violation is one wrong setting.
type Violation struct {
	File    string // empty for the command line and the environment
	Section string
	Key     string
	Value   string
	Allowed string
}

// String names the place, the value and what is allowed.
func (f Violation) String() string {
	place := "--" + joinName(f.Section, f.Key)
	if f.File != "" {
		place = fmt.Sprintf("%s: [%s] %s", f.File, f.Section, f.Key)
	}
	return fmt.Sprintf("%s = %q: allowed is %s", place, f.Value, f.Allowed)
}

// ValidationError lists all wrong settings of a process.
type ValidationError struct{ Violations []Violation }

// Error implements the error interface with one fault a line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Violations)+1)
	lines = append(lines, fmt.Sprintf("%d settings are wrong", len(e.Violations)))
	for _, f := range e.Violations {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Defaults returns a settings struct filled with the defaults in its tags. It
// panics if a tag is malformed, which is a programming error.
func Defaults[T any]() T {
	var target T
	if err := kong.ApplyDefaults(&target); err != nil {
		panic(err)
	}
	return target
}

// Validator is implemented by settings of which some depend on others.
type Validator interface {
	// ValidateCombination returns the settings that do not fit one another.
	ValidateCombination() []Violation
}

// Program describes a binary to its users.
type Program struct {
	Name        string
	Description string // shown by --help, with examples
	Stdout      io.Writer
	Stderr      io.Writer
	Exit        func(code int)
}

// Parse fills target from args, the environment and the settings file, and
// returns the parsed command. All faults come back in one *FaultsError.
func Parse(p Program, target any, args []string) (*kong.Context, error) {
	path := findFlag(args, settingsFlag)
	if path == "" {
		path = os.Getenv(EnvironmentPrefix + "_SETTINGS")
	}
	file, err := loadFile(path)
	if err != nil {
		return nil, err
	}
	parser, err := kong.New(target,
		kong.Name(p.Name),
		kong.Description(p.Description),
		kong.Vars{"version": Version},
		kong.DefaultEnvars(EnvironmentPrefix),
		kong.Writers(writerOr(p.Stdout, os.Stdout), writerOr(p.Stderr, os.Stderr)),
		kong.Exit(exitOr(p.Exit)),
		kong.Resolvers(fileResolver(file)),
	)
	if err != nil {
		return nil, err
	}
	if faults := checkFile(path, file, parser.Model.AllFlags(false)); len(faults) > 0 {
		return nil, &ValidationError{Violations: faults}
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return nil, err
	}
	faults := checkValues(ctx.Flags())
	if checker, ok := target.(Validator); ok {
		faults = append(faults, checker.ValidateCombination()...)
	}
	if len(faults) > 0 {
		return nil, &ValidationError{Violations: faults}
	}
	return ctx, nil
}

func writerOr(w, fallback io.Writer) io.Writer {
	if w == nil {
		return fallback
	}
	return w
}

func exitOr(exit func(int)) func(int) {
	if exit == nil {
		return os.Exit
	}
	return exit
}

func findFlag(args []string, name string) string {
	long := "--" + name
	for i, arg := range args {
		if value, ok := strings.CutPrefix(arg, long+"="); ok {
			return value
		}
		if arg == long && i+1 < len(args) {
			return args[i+1]
		}
	}
	return ""
}

func loadFile(path string) (*ini.File, error) {
	if path == "" {
		return ini.Empty(), nil
	}
	return ini.LoadSources(ini.LoadOptions{}, path)
}

func joinName(section, key string) string {
	if section == "" || section == ini.DefaultSection {
		return key
	}
	return section + "-" + key
}

func fileResolver(file *ini.File) kong.Resolver {
	values := make(map[string]string)
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			values[joinName(section.Name(), key.Name())] = key.Value()
		}
	}
	return kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		if inEnvironment(flag) {
			return nil, nil
		}
		if value, ok := values[flag.Name]; ok {
			return value, nil
		}
		return nil, nil
	})
}

// inEnvironment reports whether a variable sets flag. Kong would let the file override it.
func inEnvironment(flag *kong.Flag) bool {
	return slices.ContainsFunc(flag.Envs, func(name string) bool {
		_, ok := os.LookupEnv(name)
		return ok
	})
}

func checkFile(path string, file *ini.File, groups [][]*kong.Flag) []Violation {
	flags := make(map[string]*kong.Flag)
	for _, group := range groups {
		for _, flag := range group {
			flags[flag.Name] = flag
		}
	}
	var faults []Violation
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			fault := Violation{File: path, Section: section.Name(), Key: key.Name(), Value: key.Value()}
			flag, ok := flags[joinName(section.Name(), key.Name())]
			if !ok {
				fault.Allowed = "nothing: the key is unknown"
				faults = append(faults, fault)
				continue
			}
			if allowed := checkText(flag, key.Value()); allowed != "" {
				fault.Allowed = allowed
				faults = append(faults, fault)
			}
		}
	}
	return faults
}

// checkText returns what is allowed when text is no valid value of flag, else "".
func checkText(flag *kong.Flag, text string) string {
	if flag.Enum != "" && !slices.Contains(strings.Split(flag.Enum, ","), text) {
		return "one of " + flag.Enum
	}
	value := reflect.New(flag.Target.Type()).Elem()
	if err := parseInto(value, text); err != nil {
		return fmt.Sprintf("a %s%s", typeName(flag.Target.Type()), rangeText(flag))
	}
	if !inRange(flag, value) {
		return fmt.Sprintf("a %s%s", typeName(flag.Target.Type()), rangeText(flag))
	}
	return ""
}

func checkValues(flags []*kong.Flag) []Violation {
	var faults []Violation
	for _, flag := range flags {
		if inRange(flag, flag.Target) {
			continue
		}
		faults = append(faults, Violation{
			Key:     flag.Name,
			Value:   fmt.Sprint(flag.Target.Interface()),
			Allowed: fmt.Sprintf("a %s%s", typeName(flag.Target.Type()), rangeText(flag)),
		})
	}
	return faults
}
