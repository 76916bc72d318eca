package ctl

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	"gotest.tools/v3/golden"

	"savoryweir/internal/control/bundles"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/status"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/operations"
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
	data, err := os.ReadFile(s.path("trusted.ini"))
	assert.NilError(s.t, err)
	policy, err := approvalfile.DecodePolicy("trusted.ini", data)
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	for number, name := range []string{"i1", "i2"} {
		recorder := timeline.NewRecorder(hlc.New(time.Now), "control", name, "attica-1", 100)
		i := &instance{name: name, recorder: recorder, Manager: bundles.New(bundles.Options{
			Settings: bundles.Settings{WatchWait: time.Second, PollInterval: time.Hour, FetchTimeout: time.Minute, StoreTimeout: time.Minute, RetryMin: time.Millisecond, RetryMax: time.Second},
			Policy:   policy, Store: s.memory, Recorder: recorder, Logger: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 1)),
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

// rollOut approves the bundle in the session's directory.
func (s *session) rollOut(generation bundle.Generation) {
	s.t.Helper()
	s.run(CodeOK, "bundle sign @bundle --key @anna.key")
	s.run(CodeOK, "bundle sign @bundle --key @babis.key")
	s.run(CodeOK, fmt.Sprintf("bundle approve @bundle --key @anna.key --replaces %d", generation-1))
	s.waitFor(generation)
}

func TestSessionRollout(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	s.startInstances()
	s.run(CodeFailed, "bundle show")
	s.run(CodeNotUniform, "status --operations "+s.addresses())
	s.run(CodeOK, "bundle check @bundle")
	s.run(CodeUnsigned, "bundle approve @bundle --key @anna.key")
	s.run(CodeOK, "bundle sign @bundle --key @anna.key")
	s.run(CodeUnsigned, "bundle approve @bundle --key @anna.key")
	s.run(CodeOK, "bundle sign @bundle --key @babis.key")
	s.run(CodeOK, "bundle approve @bundle --key @anna.key")
	s.waitFor(1)
	s.run(CodeOK, "status --operations "+s.addresses())
	s.write("bundle/all.ini", strings.Replace(sessionBundle, "version = 1", "version = 2", 1))
	s.run(CodeOK, "bundle diff @bundle")
	s.rollOut(2)
	s.run(CodeRaceLost, "bundle approve @bundle --key @babis.key --replaces 1")
	s.run(CodeOK, "bundle history")
	s.run(CodeOK, "status --operations "+s.addresses())
	s.run(CodeOK, "timeline --generation 2 --operations "+s.addresses())
	golden.Assert(t, s.normalised(), "session-rollout.golden")
}

func TestSessionFallback(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	s.startInstances()
	s.rollOut(1)
	s.write("bundle/all.ini", strings.Replace(sessionBundle, "version = 1", "version = 2", 1))
	s.rollOut(2)
	s.run(CodeFailed, "bundle fallback 9 --key @babis.key")
	s.run(CodeOK, "bundle fallback 1 --key @babis.key --replaces 2")
	s.waitFor(3)
	s.run(CodeOK, "bundle diff 3 2")
	s.run(CodeOK, "bundle diff 3 1")
	s.run(CodeOK, "bundle history")
	s.run(CodeOK, "bundle show")
	s.run(CodeOK, "timeline --operations "+s.addresses())
	golden.Assert(t, s.normalised(), "session-fallback.golden")
}

func TestSessionRefusedBundle(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	s.startInstances()
	s.rollOut(1)
	writes := s.memory.Counts().Writes()
	s.write("bundle/all.ini", strings.Replace(sessionBundle, "version = 1\nmemory-mib = 30000", "version = 2\nmemory-mib = 60000", 1))
	s.run(CodeRefused, "bundle check @bundle")
	s.run(CodeOK, "bundle check @bundle --alone")
	s.write("bundle/all.ini", strings.ReplaceAll(sessionBundle, "memory-mib = 30000", "memory-mib = 90000"))
	s.write("bundle/more.ini", "[adapter agency-1]\nmodel = tag\nmemory-mib = 200\n[adapter tags]\nmodel = tags\nmemory-mib = 200\n"+
		"[service flights]\nkind = plain\ndeadline = 1s\n[upstream tagger-2]\nservice = tagger\naddress = engine:8000\nzone = attica-9\nmemory-mib = 1\naccelerators = 1\n")
	s.run(CodeRefused, "bundle check @bundle")
	s.write("bundle/third.ini", "[upstream tagger-3]\nservice = tagger\nadress = 10.0.0.9:8000\nzone = attica-1\nmemory-mib = much\n")
	s.run(CodeRefused, "bundle check @bundle")
	s.run(CodeRefused, "bundle sign @bundle --key @anna.key")
	s.run(CodeRefused, "bundle approve @bundle --key @anna.key")
	s.write("bundle/more.ini", "[adapter agency-1\n[model tags]\n")
	s.run(CodeRefused, "bundle check @bundle")
	s.run(CodeOK, "status --operations "+s.addresses())
	assert.Equal(t, s.memory.Counts().Writes(), writes, "a refused bundle reached the store")
	golden.Assert(t, s.normalised(), "session-refused.golden")
}

func TestRacingApprovals(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	for _, name := range []string{"anna", "babis"} {
		s.run(CodeOK, "bundle sign @bundle --key @"+name+".key")
	}
	// Both writes to the pointer wait for one another, so that both operators have
	// read the same generation before.
	const racers = 2
	arrived := make(chan struct{}, racers)
	release := make(chan struct{})
	go func() {
		for range racers {
			<-arrived
		}
		close(release)
	}()
	next := objectapi.Handler(s.memory)
	s.store.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.Contains(r.URL.Path, string(approvalfile.KindPointer)) {
			arrived <- struct{}{}
			<-release
		}
		next.ServeHTTP(w, r)
	})
	codes, errors := make(chan Code, racers), make(chan string, racers)
	for _, name := range []string{"anna", "babis"} {
		go func() {
			var stdout, stderr bytes.Buffer
			env := NewEnvironment(t.Context())
			env.Stdout, env.Stderr = &stdout, &stderr
			codes <- Run(env, []string{"--store-url=" + s.store.URL, "--trusted-keys=" + s.path("trusted.ini"),
				"bundle", "approve", s.path("bundle"), "--key", s.path(name + ".key")})
			errors <- stderr.String()
		}()
	}
	assert.Equal(t, (<-codes)+(<-codes), CodeOK+CodeRaceLost)
	complaint := (<-errors) + (<-errors)
	winner := s.run(CodeOK, "bundle history")
	for _, name := range []string{"anna", "babis"} {
		if strings.Contains(winner, "approve by "+name) {
			assert.Assert(t, strings.Contains(complaint, "taken by "+name), complaint)
			return
		}
	}
	t.Fatal(winner)
}
