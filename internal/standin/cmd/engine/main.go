// Command engine runs a stand-in model engine.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/residency"
	"savoryweir/internal/standin/serve"
	"savoryweir/internal/standin/weights"
)

type flags struct {
	Address     string        `help:"IP address and port to listen on." default:"127.0.0.1:0"`
	Models      []string      `help:"Models and adapters that the engine serves when it has no weight store." default:"small"`
	WeightStore string        `help:"Base URL of the weight store. With it, models and adapters are loaded by order."`
	MemoryMiB   int64         `name:"memory-mib" help:"Memory for models and adapters." default:"40000"`
	IgnoreFence bool          `help:"Take orders with an old fencing number."`
	ReportLag   time.Duration `help:"Age of the reported residency." default:"200ms"`
	MaxBatch    int           `help:"Requests that run at once." default:"32"`
	StepBase    time.Duration `help:"Time of a step with an empty batch." default:"5ms"`
	StepPerRun  time.Duration `help:"Time that each running request adds to a step." default:"100us"`
	Prefill     time.Duration `help:"Time of a prompt that is not cached." default:"10ms"`
	CacheSize   int           `help:"Prompts in the prefix cache." default:"256"`
	LoadLag     time.Duration `help:"Age of the reported load." default:"500ms"`
	CrashMarker string        `help:"A request that holds this text ends the program."`
}

const crashExitCode = 134

// memory returns the memory part, or nil when all models are served at all times.
func memory(f flags) engine.Memory {
	if f.WeightStore == "" {
		return nil
	}
	loader := &weights.Remote{URL: f.WeightStore, Client: http.DefaultClient}
	return residency.Serving{Engine: residency.New(residency.Config{
		Name: f.Address, CapacityMiB: f.MemoryMiB, ChecksFence: !f.IgnoreFence, ReportLag: f.ReportLag,
	}, loader, time.Now())}
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("engine"), kong.Description("Stand-in model engine for tests and the demo."))
	e := engine.New(engine.Settings{
		Memory: memory(f), Models: f.Models, MaxBatch: f.MaxBatch, StepBase: f.StepBase, StepPerRun: f.StepPerRun, Prefill: f.Prefill,
		CacheSize: f.CacheSize, LoadLag: f.LoadLag, CrashMarker: f.CrashMarker,
		OnCrash: func() { os.Exit(crashExitCode) },
	})
	if err := serve.Run("engine", f.Address, e.Handler(), e.Run); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
