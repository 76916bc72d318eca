package reference

import (
	"cmp"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"savoryweir/internal/settings"
)

// Setting describes a key of a settings file or an argument of a command.
type Setting struct {
	Section     string // empty for a key that stands before the first section
	Key         string
	Type        string
	Range       string
	Default     string
	Description string
}

// Command describes a command of a program with its own arguments and flags.
type Command struct {
	Path        string
	Description string
	Arguments   []Setting
}

// Program describes a binary with its settings and commands.
type Program struct {
	Name     string
	Settings []Setting
	Commands []Command
}

// Describe reads the settings and commands of a program from target, a pointer to a struct with kong tags.
// It returns an error when kong rejects the struct.
func Describe(name string, target any) (Program, error) {
	parser, err := kong.New(target, kong.Name(name), kong.Vars{"version": settings.Version})
	if err != nil {
		return Program{}, err
	}
	program := Program{Name: name, Settings: flagSettings(parser.Model.Node)}
	for _, leaf := range parser.Model.Leaves(true) {
		if leaf.Type == kong.CommandNode {
			program.Commands = append(program.Commands, newCommand(leaf))
		}
	}
	return program, nil
}

func newCommand(node *kong.Node) Command {
	command := Command{Path: node.Path(), Description: node.Help}
	for _, value := range node.Positional {
		command.Arguments = append(command.Arguments, newSetting(value, "", value.Name))
	}
	command.Arguments = append(command.Arguments, flagSettings(node)...)
	return command
}

// flagSettings describes the flags of node. The prefix tag of a flag gives its section.
func flagSettings(node *kong.Node) []Setting {
	described := make([]Setting, 0, len(node.Flags))
	for _, flag := range node.Flags {
		section, _, _ := strings.Cut(flag.Tag.Prefix, "-")
		key := strings.TrimPrefix(flag.Name, section+"-")
		described = append(described, newSetting(flag.Value, section, key))
	}
	return described
}

func newSetting(value *kong.Value, section, key string) Setting {
	return Setting{
		Section:     section,
		Key:         key,
		Type:        typeName(value),
		Range:       formatRange(value),
		Default:     formatDefault(value),
		Description: value.Help,
	}
}

func typeName(value *kong.Value) string {
	valueType := value.Target.Type()
	if valueType.Kind() == reflect.Pointer {
		valueType = valueType.Elem()
	}
	if valueType == reflect.TypeFor[time.Duration]() {
		return "duration"
	}
	if value.Tag.Type == "path" {
		return "path"
	}
	switch valueType.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "list, by commas"
	default:
		return "text"
	}
}

func formatRange(value *kong.Value) string {
	if value.Enum != "" {
		return strings.ReplaceAll(value.Enum, ",", ", ")
	}
	lower, upper := value.Tag.Get("min"), value.Tag.Get("max")
	if lower == "" && upper == "" {
		return ""
	}
	return fmt.Sprintf("%s to %s", cmp.Or(lower, "any"), cmp.Or(upper, "any"))
}

func formatDefault(value *kong.Value) string {
	if value.Required {
		return "(required)"
	}
	return value.Default
}
