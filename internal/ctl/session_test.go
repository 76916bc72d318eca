package ctl

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/standin/certs"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/status"
	"savoryweir/internal/transport/operations"
	"savoryweir/internal/transport/tlsconf"
)

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

// An approval that was written past the tool with too few signatures is shown, and the
// next bundle is compared with the one that is in force.
func TestBadlySignedApprovalIsPassedOver(t *testing.T) {
	s := newSession(t)
	s.operators("anna", "babis")
	s.startInstances()
	s.rollOut(1)
	s.write("bundle/all.ini", strings.Replace(sessionBundle, "version = 1", "version = 2", 1))
	s.run(CodeOK, "bundle sign @bundle --key @anna.key")
	trusted, err := os.ReadFile(s.path("trusted.ini"))
	assert.NilError(t, err)
	s.write("trusted.ini", strings.Replace(string(trusted), "required-signatures = 2", "required-signatures = 1", 1))
	s.run(CodeOK, "bundle approve @bundle --key @anna.key")
	s.write("trusted.ini", string(trusted))
	assert.Equal(t, s.run(CodeOK, "bundle diff @bundle"), "~ [model tags] version: 1 -> 2\n")
	assert.Check(t, is.Contains(s.text.String(), "Generation 2 is in force nowhere: the bundle has 1 valid signatures of 2 required"))
	s.rollOut(3)
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
		isWrite := r.Method == http.MethodPut || r.Method == http.MethodPost // an update or a create
		if isWrite && strings.Contains(r.URL.Path, string(approvalfile.KindPointer)) {
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

// TestStatusOverTLS asks an operations port that wants certificates.
func TestStatusOverTLS(t *testing.T) {
	s := newSession(t)
	for serial, folder := range []string{"own", "stranger"} {
		assert.NilError(t, os.MkdirAll(s.path(folder), 0o700))
		assert.NilError(t, certs.In(s.path(folder)).Write(int64(serial+1)))
	}
	own := certs.In(s.path("own"))
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, err := tlsconf.Listen(plain, tlsconf.Settings{Certificate: own.Certificate, Key: own.Key, CA: own.Authority})
	assert.NilError(t, err)
	server := &http.Server{
		ErrorLog: log.New(io.Discard, "", 0),
		Handler:  operations.Handler(operations.Options{Metrics: prometheus.NewRegistry(), Status: func() status.Status { return status.Status{} }}),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { assert.Check(t, server.Close()) })
	command := "status --operations " + listener.Addr().String()
	const identity = " --operations-tls-certificate @%[1]s/cert.pem --operations-tls-key @%[1]s/key.pem --operations-tls-ca @%[1]s/ca.pem"
	s.run(CodeOK, command+fmt.Sprintf(identity, "own"))
	s.run(CodeNotUniform, command+fmt.Sprintf(identity, "stranger"))
	s.run(CodeNotUniform, command+" --operations-tls-ca @own/ca.pem")
	s.run(CodeNotUniform, command)
}
