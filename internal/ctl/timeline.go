package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/timelinefile"
	"savoryweir/internal/protocol/timelinepage"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/operations"
)

// The output formats of a time line.
const (
	formatText  = "text"
	formatLines = "jsonl"
	formatPage  = "html"
)

// TimelineCommand merges time lines.
type TimelineCommand struct {
	Operations []string `help:"Addresses of operations ports, IP address and port." placeholder:"ADDRESS"`
	File       []string `help:"Saved time lines in JSON lines." type:"existingfile" placeholder:"FILE"`
	Logs       []string `help:"Saved logs of processes, one JSON object a line." type:"existingfile" placeholder:"FILE"`
	Request    string   `help:"Only events of this request."`
	Order      string   `help:"Only events of this order, by its idempotency key."`
	Upstream   string   `help:"Only events of this upstream."`
	Model      string   `help:"Only events of this model."`
	Generation uint64   `help:"Only events of this generation."`
	Format     string   `help:"Output format: ${enum}." enum:"text,jsonl,html" default:"text"`
	Output     string   `help:"File for the output, standard output by default." type:"path" placeholder:"FILE"`
}

// Help implements kong's detailed help.
func (TimelineCommand) Help() string {
	return `Events stand in causal order, though the clocks of the instances differ. Each process keeps its
latest events only; save them with --format jsonl to look at them later. If a process does not
answer, the others are shown and the exit code is 1.

Examples:
  savoryweirctl timeline --operations 10.0.1.11:7801,10.0.1.11:7802 --request r-17
  savoryweirctl timeline --operations 10.0.1.11:7801 --format jsonl --output saved.jsonl
  savoryweirctl timeline --logs i1.log,i2.log --request 9c41d07be2a35f68
  savoryweirctl timeline --file saved.jsonl --format html --output timeline.html`
}

// Run merges, filters and writes the events.
func (c *TimelineCommand) Run(env *Environment) error {
	if len(c.Operations)+len(c.File)+len(c.Logs) == 0 {
		return errs.New("read time lines", errs.Self, "name processes with --operations or files with --file or --logs")
	}
	lists, failed := c.collect(env)
	filter := timeline.Filter{
		Request: c.Request, Order: c.Order, Upstream: c.Upstream, Model: c.Model, Generation: c.Generation,
	}
	events := filter.Apply(timeline.Merge(lists...))
	if err := c.write(env, events); err != nil {
		return errs.Wrap(err, "write time line", errs.Self)
	}
	return failed
}

// collect returns the time lines that could be read, and the errors of the others.
func (c *TimelineCommand) collect(env *Environment) ([][]timeline.Event, error) {
	var lists [][]timeline.Event
	var failed error
	for _, a := range fetchAll(env, c.Operations, operations.PathTimeline, maxTimelineBytes, timelinefile.Read) {
		lists = append(lists, a.value)
		failed = errors.Join(failed, a.err)
	}
	for _, name := range c.File {
		events, err := readFile(name, timelinefile.Read)
		lists = append(lists, events)
		failed = errors.Join(failed, err)
	}
	for _, name := range c.Logs {
		events, err := readFile(name, timelinefile.ReadLog)
		lists = append(lists, events)
		failed = errors.Join(failed, err)
	}
	return lists, failed
}

func readFile(name string, read func(io.Reader) ([]timeline.Event, error)) (events []timeline.Event, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errs.Wrap(err, "open time line", errs.Self)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	events, err = read(file)
	return events, errs.Wrap(err, errs.Step(fmt.Sprintf("read time line %s", name)), errs.Self)
}

func (c *TimelineCommand) write(env *Environment, events []timeline.Event) (err error) {
	output := env.Stdout
	if c.Output != "" {
		file, err := os.Create(c.Output)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		output = file
	}
	return c.format(output, events)
}

func (c *TimelineCommand) format(w io.Writer, events []timeline.Event) error {
	switch c.Format {
	case formatLines:
		return timelinefile.Write(w, events)
	case formatPage:
		return timelinepage.Write(w, events)
	default:
		return timelinefile.WriteText(w, events)
	}
}
