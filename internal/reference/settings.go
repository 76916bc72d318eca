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

// Setting is one key of a settings file or one argument of a command.
type Setting struct {
	Section     string // empty for a key that stands before the first section
	Key         string
	Type        string
	Range       string
	Default     string
	Description string
}

// Command is a command of a binary with its own arguments and flags.
type Command struct {
	Path        string
	Description string
	Arguments   []Setting
}

// Program is a binary with its settings.
type Program struct {
	Name     string
	Settings []Setting
	Commands []Command
}

// Describe reads the settings of a binary from target, a pointer to a struct with kong tags.
func Describe(name string, target any) (Program, error) {
	parser, err := kong.New(target, kong.Name(name), kong.Vars{"version": settings.Version})
	if err != nil {
		return Program{}, err
	}
	program := Program{Name: name, Settings: flagsOf(parser.Model.Node)}
	for _, leaf := range parser.Model.Leaves(true) {
		if leaf.Type == kong.CommandNode {
			program.Commands = append(program.Commands, commandOf(leaf))
		}
	}
	return program, nil
}

func commandOf(node *kong.Node) Command {
	command := Command{Path: node.Path(), Description: node.Help}
	for _, value := range node.Positional {
		command.Arguments = append(command.Arguments, settingOf(value, "", value.Name))
	}
	command.Arguments = append(command.Arguments, flagsOf(node)...)
	return command
}

func flagsOf(node *kong.Node) []Setting {
	described := make([]Setting, 0, len(node.Flags))
	for _, flag := range node.Flags {
		section, _, _ := strings.Cut(flag.Tag.Prefix, "-")
		key := strings.TrimPrefix(flag.Name, section+"-")
		described = append(described, settingOf(flag.Value, section, key))
	}
	return described
}

func settingOf(value *kong.Value, section, key string) Setting {
	return Setting{
		Section:     section,
		Key:         key,
		Type:        typeOf(value),
		Range:       rangeOf(value),
		Default:     defaultOf(value),
		Description: value.Help,
	}
}

func typeOf(value *kong.Value) string {
	kind := value.Target.Type()
	if kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	if kind == reflect.TypeFor[time.Duration]() {
		return "duration"
	}
	if value.Tag.Type == "path" {
		return "path"
	}
	switch kind.Kind() {
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

func rangeOf(value *kong.Value) string {
	if value.Enum != "" {
		return strings.ReplaceAll(value.Enum, ",", ", ")
	}
	low, high := value.Tag.Get("min"), value.Tag.Get("max")
	if low == "" && high == "" {
		return ""
	}
	return fmt.Sprintf("%s to %s", cmp.Or(low, "any"), cmp.Or(high, "any"))
}

func defaultOf(value *kong.Value) string {
	if value.Required {
		return "(required)"
	}
	return value.Default
}
