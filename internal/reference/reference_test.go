package reference_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"savoryweir/internal/control"
	"savoryweir/internal/ctl"
	"savoryweir/internal/entry"
	"savoryweir/internal/node"
	"savoryweir/internal/node/telemetry"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/reference"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/approval"
)

const (
	entryName   = "savoryweir-entry"
	controlName = "savoryweir-control"
	nodeName    = "savoryweir-node"
	ctlName     = "savoryweirctl"
	anyPort     = "127.0.0.1:0"
)

// pagePath returns the absolute path of an operators' page. The golden package resolves relative paths under testdata.
func pagePath(t *testing.T, name string) string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("..", "..", "docs", "operators", name))
	assert.NilError(t, err)
	return path
}

func describeProgram(t *testing.T, name string, target any) reference.Program {
	t.Helper()
	program, err := reference.Describe(name, target)
	assert.NilError(t, err)
	return program
}

func TestSettingsPageMatchesCode(t *testing.T) {
	programs := []reference.Program{
		describeProgram(t, entryName, &entry.Settings{}),
		describeProgram(t, controlName, &control.Settings{}),
		describeProgram(t, nodeName, &node.Settings{}),
		describeProgram(t, ctlName, &ctl.CommandLine{}),
	}
	golden.Assert(t, reference.SettingsPage(programs), pagePath(t, "SETTINGS.md"))
}

func TestMetricsPageMatchesCode(t *testing.T) {
	parts := []reference.Part{
		{Process: entryName, Metrics: describeMetrics(t, newEntry(t))},
		{Process: controlName, Metrics: describeMetrics(t, newControl(t))},
		{Process: nodeName, Metrics: describeMetrics(t, telemetry.New(func() uint64 { return 0 }).Registry)},
	}
	text, err := reference.MetricsPage(parts, reference.Advices())
	assert.NilError(t, err)
	golden.Assert(t, text, pagePath(t, "METRICS.md"))
}

func describeMetrics(t *testing.T, process reference.Describer) []reference.Metric {
	t.Helper()
	metrics, err := reference.Metrics(process)
	assert.NilError(t, err)
	return metrics
}

// parseDefaults fills target with the default settings and the required instance identity.
func parseDefaults(t *testing.T, target any) {
	t.Helper()
	_, err := settings.Parse(settings.Program{Name: "test"}, target, []string{"--instance-id=a1", "--instance-zone=a"})
	assert.NilError(t, err)
}

func newEntry(t *testing.T) *entry.Server {
	t.Helper()
	var s entry.Settings
	parseDefaults(t, &s)
	server, err := entry.New(s, entry.Dependencies{
		Views: entry.StaticSource{}, Claims: entry.NoClaims{}, Log: zerolog.Nop(),
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

func newControl(t *testing.T) *control.Process {
	t.Helper()
	var s control.Settings
	parseDefaults(t, &s)
	s.Bundles.TrustedKeys = writeTrustedKeys(t)
	s.Peers.Port = 0
	s.Local.Address, s.Operations.Address = anyPort, anyPort
	process, err := control.New(s, zerolog.Nop())
	assert.NilError(t, err)
	t.Cleanup(func() {
		expired, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
		defer cancel()
		_ = process.Run(expired) // Run closes the ports when its context has expired.
	})
	return process
}

func writeTrustedKeys(t *testing.T) string {
	t.Helper()
	_, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	key := approval.Key{Operator: "anna", Private: private}
	text := fmt.Sprintf("[policy]\ndeployment = test\nrequired-signatures = 1\n%s", approvalfile.EncodeTrustedKey(key))
	path := filepath.Join(t.TempDir(), "trusted.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// sampleSettings has one setting with help, default, min and max tags, to check how it is described.
type sampleSettings struct {
	Queue struct {
		MaxWait time.Duration `help:"Longest wait." default:"5s" min:"0s" max:"10m"`
	} `embed:"" prefix:"queue-"`
}

func TestDescribeReadsSettingFromTags(t *testing.T) {
	program := describeProgram(t, "sample", &sampleSettings{})
	want := reference.Setting{
		Section: "queue", Key: "max-wait", Type: "duration", Range: "0s to 10m", Default: "5s", Description: "Longest wait.",
	}
	assert.Equal(t, program.Settings[len(program.Settings)-1], want)
}

func TestMetricsPageFailsWhenMetricsAndAdviceDiffer(t *testing.T) {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "savoryweir_x_total", Help: "Things."}, []string{"a", "b"})
	metrics := describeMetrics(t, vector)
	assert.DeepEqual(t, metrics, []reference.Metric{{Name: "savoryweir_x_total", Labels: []string{"a", "b"}, Meaning: "Things."}})
	parts := []reference.Part{{Process: "p", Metrics: metrics}}
	_, err := reference.MetricsPage(parts, nil)
	assert.ErrorContains(t, err, "has no advice")
	_, err = reference.MetricsPage(nil, []reference.Advice{{Metric: "savoryweir_gone", Text: "Look."}})
	assert.ErrorContains(t, err, "which no process has")
}
