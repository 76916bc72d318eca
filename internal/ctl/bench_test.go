package ctl

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/control/bundles"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/status"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/operations"
	"savoryweir/internal/transport/trustedkeys"
)

const sessionBundle = `[deployment]
name = kalyvas
zones = attica-1
[service tagger]
kind = generation
deadline = 4s
[service bookings]
kind = plain
deadline = 5s
order-paths = /orders
[upstream tagger-1]
service = tagger
address = 10.0.0.1:8000
zone = attica-1
memory-mib = 80000
accelerators = 1
[upstream bookings-1]
service = bookings
address = 10.0.0.2:8000
zone = attica-1
[model tags]
service = tagger
version = 1
memory-mib = 30000
min-replicas = 1
`

// session records the commands of operators and their output.
type session struct {
	t         *testing.T
	directory string
	memory    *objectapi.Memory
	store     *httptest.Server
	instances []*instance
	text      strings.Builder
}

func newSession(t *testing.T) *session {
	memory := objectapi.New(time.Now, objectapi.Limits{})
	s := &session{t: t, directory: t.TempDir(), memory: memory, store: httptest.NewServer(objectapi.Handler(memory))}
	t.Cleanup(s.store.Close)
	s.write("bundle/all.ini", sessionBundle)
	return s
}

func (s *session) path(name string) string { return filepath.Join(s.directory, name) }

func (s *session) write(name, text string) {
	s.t.Helper()
	assert.NilError(s.t, os.MkdirAll(filepath.Dir(s.path(name)), 0o700))
	assert.NilError(s.t, os.WriteFile(s.path(name), []byte(text), 0o600))
}

// run performs one command and adds it to the transcript. Words that start with @
// name files of the session.
func (s *session) run(want Code, command string) string {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	env := NewEnvironment(s.t.Context())
	env.Stdout, env.Stderr = &stdout, &stderr
	arguments := []string{"--store-url=" + s.store.URL, "--trusted-keys=" + s.path("trusted.ini")}
	for word := range strings.FieldsSeq(command) {
		if name, ok := strings.CutPrefix(word, "@"); ok {
			word = s.path(name)
		}
		arguments = append(arguments, word)
	}
	code := Run(env, arguments)
	fmt.Fprintf(&s.text, "$ savoryweirctl %s\n%s%s(exit %d)\n\n", command, stdout.String(), stderr.String(), code)
	assert.Equal(s.t, code, want, "%s\n%s%s", command, stdout.String(), stderr.String())
	return stdout.String()
}

// operators makes key pairs and a policy that requires two signatures.
func (s *session) operators(names ...string) {
	s.t.Helper()
	trusted := "[policy]\ndeployment = kalyvas\nrequired-signatures = 2\n"
	for _, name := range names {
		trusted += s.run(CodeOK, fmt.Sprintf("keygen %s --key @%s.key", name, name))
	}
	s.write("trusted.ini", trusted)
}

// instance is a control process with its operations port.
type instance struct {
	*bundles.Manager
	name     string
	recorder *timeline.Recorder
	address  string
}

// Peer and FetchSections make an instance a source of sections for the next one.
func (i *instance) Peer() errs.Peer { return errs.Peer(i.name) }

func (i *instance) FetchSections(_ context.Context, hashes []bundle.Hash) ([]bundlefile.Section, error) {
	var found []bundlefile.Section
	for _, hash := range hashes {
		if section, ok := i.Section(hash); ok {
			found = append(found, section)
		}
	}
	return found, nil
}

func (i *instance) status() status.Status {
	head := i.Head()
	manifest := ""
	if head.Generation > 0 {
		manifest = head.Manifest.String()
	}
	return status.Status{
		Process: "control", Instance: i.name, Zone: "attica-1", Generation: head.Generation, Manifest: manifest,
		Members: []status.Member{{ID: "i1", Zone: "attica-1", State: "alive"}, {ID: "i2", Zone: "attica-1", State: "alive"}},
	}
}

func (i *instance) ready() error {
	if i.Current() == nil {
		return errNothingInForce
	}
	return nil
}

// startInstances starts two control processes. The first watches the pointer.
func (s *session) startInstances() {
	s.t.Helper()
	keys, err := trustedkeys.Open(s.path("trusted.ini"), zerolog.Nop())
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	for number, name := range []string{"i1", "i2"} {
		recorder := timeline.NewRecorder(hlc.New(time.Now), "control", name, "attica-1", 100)
		i := &instance{name: name, recorder: recorder, Manager: bundles.New(bundles.Options{
			Settings: bundles.Settings{WatchWait: time.Second, PollInterval: time.Hour, FetchTimeout: time.Minute, StoreTimeout: time.Minute, RetryMin: time.Millisecond, RetryMax: time.Second},
			Keys:     keys, Store: s.memory, Recorder: recorder, Logger: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 1)),
		})}
		server := httptest.NewServer(operations.Handler(operations.Options{
			Metrics: prometheus.NewRegistry(), Ready: i.ready, Status: i.status, Events: recorder.Events,
		}))
		s.t.Cleanup(server.Close)
		i.address = server.Listener.Addr().String()
		i.SetWatching(number == 0)
		go func() { _ = i.Run(ctx) }()
		s.instances = append(s.instances, i)
	}
}

// waitFor lets the generation reach the first instance by its watch and the second by the first.
func (s *session) waitFor(generation bundle.Generation) {
	s.t.Helper()
	for number, i := range s.instances {
		if number > 0 {
			earlier := s.instances[number-1]
			i.recorder.Clock().Observe(earlier.recorder.Clock().Now())
			i.Offer(earlier.Head(), earlier)
		}
		for changed := i.Changed(); i.Head().Generation < generation; changed = i.Changed() {
			select {
			case <-changed:
			case <-s.t.Context().Done():
				s.t.Fatal("generation never came into force")
			}
		}
	}
}

func (s *session) addresses() string {
	return s.instances[0].address + "," + s.instances[1].address
}

// The rules of normalisation: what differs from run to run is replaced by its kind,
// addresses and hashes by their order of appearance.
var (
	timePattern    = regexp.MustCompile(`\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d(\.\d{3}\+\d+|Z)`)
	noncePattern   = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	keyPattern     = regexp.MustCompile(`[A-Za-z0-9+/]{43}=`)
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	hashPattern    = regexp.MustCompile(`\b[0-9a-f]{12}([0-9a-f]{52})?\b`)
	columnPattern  = regexp.MustCompile(`  +`)
)

func (s *session) normalised() string {
	text := strings.ReplaceAll(s.text.String(), s.directory, "<directory>")
	text = timePattern.ReplaceAllString(text, "<time>")
	text = noncePattern.ReplaceAllString(text, "<nonce>")
	text = keyPattern.ReplaceAllString(text, "<key>")
	text = number(text, addressPattern, "address", 0)
	text = number(text, hashPattern, "hash", shortHash)
	return columnPattern.ReplaceAllString(text, "  ")
}

// number replaces matches by their order of appearance. Those that start with the
// same digits are one.
func number(text string, pattern *regexp.Regexp, kind string, digits int) string {
	names := make(map[string]string)
	return pattern.ReplaceAllStringFunc(text, func(match string) string {
		if digits > 0 {
			match = match[:digits]
		}
		if names[match] == "" {
			names[match] = fmt.Sprintf("<%s-%d>", kind, len(names)+1)
		}
		return names[match]
	})
}
