// Package settings reads the settings of a process from the command line, the
// environment and an INI file, and validates all values before the process starts.
//
// A process declares its settings as a struct with kong tags. The fields of an embedded
// struct with a prefix such as "queue-" are the keys of the INI section [queue]. The tags
// min and max limit numbers and durations. Command-line flags take precedence over
// environment variables, which take precedence over the file.
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

// EnvironmentPrefix is the prefix of the names of all environment variables that hold settings.
const EnvironmentPrefix = "SAVORYWEIR"

const settingsFlagName = "settings"

// Common holds the flags that all processes have.
type Common struct {
	Settings      string           `help:"INI file with settings." type:"path" placeholder:"FILE"`
	CheckSettings bool             `help:"Validate all settings, print the violations and exit."`
	Version       kong.VersionFlag `help:"Print the version and exit."`
}

// Instance holds the identity and the location of an instance.
type Instance struct {
	ID      string `help:"Identifier of this instance, unique in the deployment." required:""`
	Zone    string `help:"Availability zone of this instance." required:""`
	Address string `help:"IP address of this instance." default:"127.0.0.1"`
}

// Violation describes a setting with an invalid value.
type Violation struct {
	File    string // empty for the command line and the environment
	Section string
	Key     string
	Value   string
	Allowed string
}

// String returns the location of the setting, its value and the allowed values.
func (v Violation) String() string {
	location := "--" + flagName(v.Section, v.Key)
	if v.File != "" {
		location = fmt.Sprintf("%s: [%s] %s", v.File, v.Section, v.Key)
	}
	return fmt.Sprintf("%s = %q: allowed is %s", location, v.Value, v.Allowed)
}

// ValidationError reports all invalid settings of a process.
type ValidationError struct{ Violations []Violation }

// Error returns the number of violations and a line for each of them.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Violations)+1)
	lines = append(lines, fmt.Sprintf("%d settings are invalid", len(e.Violations)))
	for _, v := range e.Violations {
		lines = append(lines, "  "+v.String())
	}
	return strings.Join(lines, "\n")
}

// Defaults returns a settings struct with the default values of its tags. It panics if a
// tag is malformed, which is a programming error.
func Defaults[T any]() T {
	var target T
	if err := kong.ApplyDefaults(&target); err != nil {
		panic(err)
	}
	return target
}

// Validator is implemented by settings structs in which the valid values of some fields depend
// on other fields.
type Validator interface {
	// ValidateCombination returns the settings that are invalid in combination.
	ValidateCombination() []Violation
}

// Program describes a binary: its name and help text, the writers for its output and the
// function that ends it. Nil writers and a nil Exit stand for those of package os.
type Program struct {
	Name        string
	Description string // text for --help, including examples
	Stdout      io.Writer
	Stderr      io.Writer
	Exit        func(code int)
}

// Parse sets the fields of target from args, the environment and the settings file, and
// returns the parsed command. If settings are invalid, it returns a *ValidationError with
// all violations found in the file or, if the file is valid, in all sources together.
func Parse(p Program, target any, args []string) (*kong.Context, error) {
	path := findFlagValue(args, settingsFlagName)
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
		kong.Writers(writerOrDefault(p.Stdout, os.Stdout), writerOrDefault(p.Stderr, os.Stderr)),
		kong.Exit(exitOrDefault(p.Exit)),
		kong.Resolvers(newFileResolver(file)),
	)
	if err != nil {
		return nil, err
	}
	if violations := validateFile(path, file, parser.Model.AllFlags(false)); len(violations) > 0 {
		return nil, &ValidationError{Violations: violations}
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return nil, err
	}
	violations := validateValues(ctx.Flags())
	if validator, ok := target.(Validator); ok {
		violations = append(violations, validator.ValidateCombination()...)
	}
	if len(violations) > 0 {
		return nil, &ValidationError{Violations: violations}
	}
	return ctx, nil
}

func writerOrDefault(w, fallback io.Writer) io.Writer {
	if w == nil {
		return fallback
	}
	return w
}

func exitOrDefault(exit func(int)) func(int) {
	if exit == nil {
		return os.Exit
	}
	return exit
}

// findFlagValue returns the value of a flag in args, or "". The path of the settings file
// is needed before kong parses the command line.
func findFlagValue(args []string, name string) string {
	flag := "--" + name
	for i, arg := range args {
		if value, ok := strings.CutPrefix(arg, flag+"="); ok {
			return value
		}
		if arg == flag && i+1 < len(args) {
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

// flagName returns the name of the flag that corresponds to a key in a section of the file.
func flagName(section, key string) string {
	if section == "" || section == ini.DefaultSection {
		return key
	}
	return section + "-" + key
}

// newFileResolver returns a resolver that supplies the values of the file to kong.
func newFileResolver(file *ini.File) kong.Resolver {
	values := make(map[string]string)
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			values[flagName(section.Name(), key.Name())] = key.Value()
		}
	}
	return kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		if isSetInEnvironment(flag) {
			return nil, nil
		}
		if value, ok := values[flag.Name]; ok {
			return value, nil
		}
		return nil, nil
	})
}

// isSetInEnvironment reports whether an environment variable sets flag. The resolver checks
// this because kong lets the value of a resolver override the environment.
func isSetInEnvironment(flag *kong.Flag) bool {
	return slices.ContainsFunc(flag.Envs, func(name string) bool {
		_, ok := os.LookupEnv(name)
		return ok
	})
}

// validateFile returns a violation for each unknown key and each invalid value in the file.
func validateFile(path string, file *ini.File, groups [][]*kong.Flag) []Violation {
	flags := make(map[string]*kong.Flag)
	for _, group := range groups {
		for _, flag := range group {
			flags[flag.Name] = flag
		}
	}
	var violations []Violation
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			violation := Violation{File: path, Section: section.Name(), Key: key.Name(), Value: key.Value()}
			flag, ok := flags[flagName(section.Name(), key.Name())]
			if !ok {
				violation.Allowed = "nothing: the key is unknown"
				violations = append(violations, violation)
				continue
			}
			if allowed := validateText(flag, key.Value()); allowed != "" {
				violation.Allowed = allowed
				violations = append(violations, violation)
			}
		}
	}
	return violations
}

// validateText returns "" if text is a valid value of flag, otherwise a description of the
// allowed values.
func validateText(flag *kong.Flag, text string) string {
	if flag.Enum != "" && !slices.Contains(strings.Split(flag.Enum, ","), text) {
		return "one of " + flag.Enum
	}
	value := reflect.New(flag.Target.Type()).Elem()
	if err := parseInto(value, text); err != nil {
		return fmt.Sprintf("a %s%s", typeDescription(flag.Target.Type()), rangeDescription(flag))
	}
	if !inRange(flag, value) {
		return fmt.Sprintf("a %s%s", typeDescription(flag.Target.Type()), rangeDescription(flag))
	}
	return ""
}

// validateValues returns a violation for each flag whose value is out of range.
func validateValues(flags []*kong.Flag) []Violation {
	var violations []Violation
	for _, flag := range flags {
		if inRange(flag, flag.Target) {
			continue
		}
		violations = append(violations, Violation{
			Key:     flag.Name,
			Value:   fmt.Sprint(flag.Target.Interface()),
			Allowed: fmt.Sprintf("a %s%s", typeDescription(flag.Target.Type()), rangeDescription(flag)),
		})
	}
	return violations
}
