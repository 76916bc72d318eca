// Package logging builds the structured loggers of all processes. Each part of
// a process logs under its own fixed prefix.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Component is the fixed prefix of the log lines of one part of a process.
type Component string

const partField = "part"

// timeFormat tells milliseconds apart, in which most decisions fall.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

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

// WithComponent returns the logger of one part.
func WithComponent(root zerolog.Logger, part Component) zerolog.Logger {
	return root.With().Str(partField, string(part)).Logger()
}

// levelSplit sends lines of level warn and above to one writer, others to another.
type levelSplit struct {
	plain, urgent io.Writer
}

// Write implements io.Writer.
func (s levelSplit) Write(p []byte) (int, error) { return s.plain.Write(p) }

// WriteLevel implements zerolog.LevelWriter.
func (s levelSplit) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	if level >= zerolog.WarnLevel {
		return s.urgent.Write(p)
	}
	return s.plain.Write(p)
}

// stamp adds the time of a line, with milliseconds.
func stamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().Format(timeFormat))
}

// NewAsync returns the root logger of a process over a bounded writer. Its times
// have milliseconds.
func NewAsync(b *AsyncWriter, s Settings, process, instance, zone string) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(levelSplit{plain: b.LowSeverity(), urgent: b.HighSeverity()}).Level(level).Hook(zerolog.HookFunc(stamp))
	return log.With().Str("process", process).Str("instance", instance).Str("zone", zone).Logger()
}
