package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"savoryweir/internal/coordination/bundlecheck"
	"savoryweir/internal/coordination/signoff"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/protocol/timelinefile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/object"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/bundlestore"
)

func TestExamplesPassTheCheck(t *testing.T) {
	tests := []struct {
		deployment string
		want       string
	}{
		{"kalyvas", "no faults: 4 services, 18 upstreams, 20 models, 40 adapters."},
		{"magnolia", "no faults: 4 services, 30 upstreams, 40 models, 100 adapters."},
	}
	for _, test := range tests {
		t.Run(test.deployment, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			env := NewEnvironment(t.Context())
			env.Stdout, env.Stderr = &stdout, &stderr
			code := Run(env, []string{"bundle", "check", "../../examples/" + test.deployment, "--alone"})
			assert.Equal(t, code, CodeOK, stderr.String())
			assert.Check(t, is.Contains(stdout.String(), test.want))
		})
	}
}

func TestUsageAndKeys(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	s.run(CodeOK, "--help")
	s.run(CodeOK, "--version")
	s.run(CodeUsage, "bundle")
	s.run(CodeUsage, "bundle approve @bundle")
	s.run(CodeUsage, "timeline --format pdf")
	s.run(CodeFailed, "timeline")
	s.run(CodeFailed, "keygen Anna --key @new.key")
	s.run(CodeFailed, "keygen anna --key @anna.key")
	s.run(CodeFailed, "bundle sign @missing --key @anna.key")
	s.run(CodeOK, "keygen zoe --key @zoe.key")
	s.run(CodeFailed, "bundle sign @bundle --key @zoe.key")
	assert.NilError(t, os.Chmod(s.path("anna.key"), 0o640))
	s.run(CodeFailed, "bundle sign @bundle --key @anna.key")
	assert.Check(t, is.Contains(s.text.String(), "may be read by others: set its mode to 0600"))
	assert.Check(t, is.Contains(s.text.String(), `the key of operator "zoe" is not among the trusted keys`))
	private, err := os.ReadFile(s.path("babis.key"))
	assert.NilError(t, err)
	seed := strings.Fields(string(private))[len(strings.Fields(string(private)))-1]
	assert.Assert(t, !strings.Contains(s.text.String(), seed), "the private key was printed")
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		err  error
		want Code
	}{
		{bundle.JoinFaults([]bundle.Fault{{}}), CodeRefused},
		{&signoff.InsufficientSignaturesError{}, CodeUnsigned},
		{&bundlestore.ConflictError{}, CodeRaceLost},
		{&bundlestore.OutcomeUnknownError{Cause: object.ErrUnavailable}, CodeUnknown},
		{object.ErrUnavailable, CodeStoreDown},
		{object.ErrThrottled, CodeStoreDown},
		{object.ErrNotFound, CodeFailed},
		{&notUniformError{}, CodeNotUniform},
	}
	for _, test := range tests {
		code, _ := classify(errs.Wrap(test.err, "step", "peer"))
		assert.Equal(t, code, test.want, "%v", test.err)
	}
}

func TestStoreDown(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	s.memory.SetFaults(objectapi.Faults{Outage: true})
	s.run(CodeStoreDown, "bundle approve @bundle --key @anna.key")
	s.run(CodeStoreDown, "bundle history")
	s.run(CodeOK, "bundle check @bundle --alone")
}

func TestOtherDeploymentIsRefused(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	s.write("bundle/all.ini", strings.Replace(sessionBundle, "name = kalyvas", "name = magnolia", 1))
	s.run(CodeRefused, "bundle sign @bundle --key @anna.key")
	assert.Check(t, is.Contains(s.text.String(), `all.ini: [deployment] name: the trusted keys are for deployment "kalyvas"`))
}

func TestTimelineOfFiles(t *testing.T) {
	s := newSession(t)
	write := func(name string, events ...timeline.Event) {
		var text bytes.Buffer
		assert.NilError(t, timelinefile.Write(&text, events))
		s.write(name, text.String())
	}
	event := func(millis int64, instance, request string) timeline.Event {
		return timeline.Event{
			Time: hlc.Timestamp{WallMillis: millis}, Instance: instance, Process: "entry",
			Kind: timeline.KindRequestReceived, Request: request,
		}
	}
	write("a.jsonl", event(1, "i1", "r1"), event(4, "i1", "r2"))
	write("b.jsonl", event(2, "i2", "r1"), event(3, "i2", "r1"))
	files := "timeline --file @a.jsonl --file @b.jsonl --request r1"
	text := s.run(CodeOK, files)
	assert.Equal(t, strings.Count(text, "\n"), 3)
	assert.Assert(t, strings.Index(text, "i1/entry") < strings.Index(text, "i2/entry"))
	lines := s.run(CodeOK, files+" --format jsonl")
	events, err := timelinefile.Read(strings.NewReader(lines))
	assert.NilError(t, err)
	assert.Equal(t, len(events), 3)
	s.run(CodeOK, files+" --format html --output @page.html")
	page, err := os.ReadFile(s.path("page.html"))
	assert.NilError(t, err)
	assert.Check(t, is.Contains(string(page), `data-request="r1"`))
	s.write("c.jsonl", "no event\n")
	s.run(CodeFailed, "timeline --file @a.jsonl --file @c.jsonl")
	assert.Check(t, is.Contains(s.text.String(), "line 1 is not an event"))
}

// Bad files give faults, never a panic, and what passes the check can be encoded.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(sessionBundle))
	for _, deployment := range []string{"kalyvas", "magnolia"} {
		names, err := filepath.Glob("../../examples/" + deployment + "/*.ini")
		assert.NilError(f, err)
		var all []byte
		for _, name := range names {
			data, err := os.ReadFile(name)
			assert.NilError(f, err)
			all = append(all, data...)
		}
		f.Add(all)
	}
	f.Add([]byte("[deployment]\nname = d\nzones = z\n[model m]\nservice = s\nversion = 1\nmemory-mib = 1073741824\nmin-replicas = 65536\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, source, faults := bundlefile.Parse([]bundlefile.File{{Name: "f.ini", Data: data}})
		checked := bundlecheck.Check(bundlecheck.Input{New: b, Old: b, Files: source})
		if len(faults)+len(checked) > 0 {
			return
		}
		_, err := bundlefile.Encode(b)
		assert.NilError(t, err)
	})
}
