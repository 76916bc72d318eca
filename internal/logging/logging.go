// Package logging builds the structured loggers of all processes. Each component of a process
// adds its name to its log lines.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Component is the name of a component of a process, as it appears in its log lines.
type Component string

const componentField = "part"

// timeFormat includes milliseconds, because successive decisions are often less than a second apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Settings holds the logging settings of a process.
type Settings struct {
	Level string `help:"Least severe level that is logged." default:"info" enum:"debug,info,warn,error"`
}

// New returns the root logger of a process, which writes to w. An unknown level is replaced
// by info.
func New(w io.Writer, s Settings, process, instance string) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("process", process).Str("instance", instance).Logger()
}

// WithComponent returns a logger that adds the name of a component to each line.
func WithComponent(root zerolog.Logger, component Component) zerolog.Logger {
	return root.With().Str(componentField, string(component)).Logger()
}

// severityRouter writes lines of level warn and above to one writer and all other lines to
// another.
type severityRouter struct {
	lowSeverity, highSeverity io.Writer
}

// Write implements io.Writer.
func (r severityRouter) Write(line []byte) (int, error) { return r.lowSeverity.Write(line) }

// WriteLevel implements zerolog.LevelWriter.
func (r severityRouter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level >= zerolog.WarnLevel {
		return r.highSeverity.Write(line)
	}
	return r.lowSeverity.Write(line)
}

// addTimestamp adds the current time, with milliseconds, to a line.
func addTimestamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().Format(timeFormat))
}

// NewAsync returns the root logger of a process, which writes to w. Its timestamps have
// milliseconds. An unknown level is replaced by info.
func NewAsync(w *AsyncWriter, s Settings, process, instance, zone string) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(severityRouter{lowSeverity: w.LowSeverity(), highSeverity: w.HighSeverity()}).Level(level).Hook(zerolog.HookFunc(addTimestamp))
	return log.With().Str("process", process).Str("instance", instance).Str("zone", zone).Logger()
}
