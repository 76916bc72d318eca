// Package logging builds the structured loggers of all processes. Each part of
// a process logs under its own fixed prefix.
package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// Part is the fixed prefix of the log lines of one part of a process.
type Part string

const partField = "part"

// Settings selects what a process logs.
type Settings struct {
	Level string `help:"Least severe level that is logged." default:"info" enum:"debug,info,warn,error"`
}

// New returns the root logger of a process. Unknown levels select info.
func New(w io.Writer, s Settings, process, instance string) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("process", process).Str("instance", instance).Logger()
}

// For returns the logger of one part.
func For(root zerolog.Logger, part Part) zerolog.Logger {
	return root.With().Str(partField, string(part)).Logger()
}
