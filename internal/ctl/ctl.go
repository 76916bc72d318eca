// Package ctl is the operators' tool. It prepares, signs and approves bundles and
// shows what the system does. It gives no orders to running processes.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/transport/bundlestore"
	"savoryweir/internal/transport/checkedhttp"
	"savoryweir/internal/transport/storeclient"
	"savoryweir/internal/transport/tlsconf"
)

const description = `Tool of the operators of savoryweir.

Operators steer the system only by bundles: write one, let it be checked, have it signed,
approve it, or fall back to an earlier one.

Examples:
  savoryweirctl keygen anna --key anna.key
  savoryweirctl bundle check examples/kalyvas --alone
  savoryweirctl bundle diff ./bundle
  savoryweirctl bundle sign ./bundle --key anna.key
  savoryweirctl bundle approve ./bundle --key anna.key --replaces 17
  savoryweirctl bundle fallback 16 --key anna.key
  savoryweirctl status --operations 10.0.1.11:7801,10.0.2.11:7801
  savoryweirctl timeline --operations 10.0.1.11:7801 --request r-17 --format html --output timeline.html

` + exitCodesSummary

// callTimeout bounds one command's calls to the store and to operations ports.
const callTimeout = time.Minute

// CommandLine holds the flags and commands.
type CommandLine struct {
	settings.Common
	Store       storeclient.Settings `embed:"" prefix:"store-"`
	Processes   OperationsSettings   `embed:"" prefix:"operations-"`
	TrustedKeys string               `help:"INI file with the policy and the public keys of trusted operators." type:"path" default:"trusted.ini" placeholder:"FILE"`

	Keygen   KeygenCommand   `cmd:"" help:"Make a key pair of an operator."`
	Bundle   BundleCommand   `cmd:"" help:"Check, compare, sign, approve and show bundles."`
	Status   StatusCommand   `cmd:"" help:"Show the generation in force and the members at each process."`
	Timeline TimelineCommand `cmd:"" help:"Merge the time lines of processes and files."`
}

// OperationsSettings describe the connections to operations ports.
type OperationsSettings struct {
	TLS tlsconf.Settings `embed:"" prefix:"tls-"`
}

// Environment is what a command works with.
type Environment struct {
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	Now     func() time.Time
	Nonce   func() string
	HTTP    *http.Client

	commandLine *CommandLine
	client      *storeclient.Client
	scheme      string // of operations ports
}

// NewEnvironment returns the environment of a process.
func NewEnvironment(ctx context.Context) *Environment {
	return &Environment{
		Context: ctx, Stdout: os.Stdout, Stderr: os.Stderr,
		Now: time.Now, Nonce: uuid.NewString, HTTP: newHTTPClient(nil), scheme: "http://",
	}
}

// exited carries the exit code of --help and --version out of the parser.
type exited struct{ code int }

// Run performs one command and returns the exit code.
func Run(env *Environment, args []string) (code Code) {
	defer func() {
		if e, ok := recover().(exited); ok {
			code = Code(e.code)
		}
	}()
	var commandLine CommandLine
	parsed, err := settings.Parse(settings.Program{
		Name: "savoryweirctl", Description: description, Stdout: env.Stdout, Stderr: env.Stderr,
		Exit: func(code int) { panic(exited{code}) },
	}, &commandLine, args)
	if err != nil {
		fmt.Fprintf(env.Stderr, "savoryweirctl: %v\n", err)
		return CodeUsage
	}
	if commandLine.CheckSettings {
		fmt.Fprintln(env.Stdout, "settings are right")
		return CodeOK
	}
	return env.perform(&commandLine, parsed)
}

func (env *Environment) perform(commandLine *CommandLine, parsed *kong.Context) Code {
	ctx, cancel := context.WithTimeout(env.Context, callTimeout)
	defer cancel()
	bound := *env
	bound.Context, bound.commandLine = ctx, commandLine
	var err error
	if err = bound.connect(); err == nil {
		err = parsed.Run(&bound)
	}
	if err == nil {
		return CodeOK
	}
	code, advice := classify(err)
	fmt.Fprintf(env.Stderr, "savoryweirctl: %v\n", err)
	if advice != "" {
		fmt.Fprintln(env.Stderr, advice)
	}
	return code
}

// connect prepares the clients of the store and of operations ports.
func (env *Environment) connect() (err error) {
	if env.client, err = storeclient.New(env.commandLine.Store); err != nil {
		return err
	}
	identity := env.commandLine.Processes.TLS
	if !identity.Enabled() {
		return nil
	}
	source, err := tlsconf.NewSource(identity)
	if err != nil {
		return err
	}
	env.scheme = "https://"
	env.HTTP = newHTTPClient(source)
	return nil
}

// newHTTPClient returns a client of operations ports. The identity is nil for plain TCP.
func newHTTPClient(identity *tlsconf.Source) *http.Client {
	dial := (&net.Dialer{}).DialContext
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, DialContext: checkedhttp.WrapDial(dial)}
	if identity != nil {
		transport = &http.Transport{DialTLSContext: checkedhttp.WrapDial(identity.WrapDial(dial))}
	}
	return &http.Client{Transport: checkedhttp.Transport{Base: transport}}
}

func (env *Environment) store() *bundlestore.Store { return bundlestore.New(env.client) }

func (env *Environment) policy() (approval.Policy, error) {
	const step errs.Step = "read trusted keys"
	path := env.commandLine.TrustedKeys
	data, err := os.ReadFile(path)
	if err != nil {
		return approval.Policy{}, errs.Wrap(err, step, errs.Self)
	}
	policy, err := approvalfile.DecodePolicy(path, data)
	if err != nil {
		return approval.Policy{}, errs.New(step, errs.Self, err.Error())
	}
	return policy, nil
}

func (env *Environment) printf(format string, args ...any) {
	fmt.Fprintf(env.Stdout, format, args...)
}

// readKey reads a private key, which nobody but its owner may read.
func readKey(path string) (approval.Key, error) {
	const step errs.Step = "read private key"
	info, err := os.Stat(path)
	if err != nil {
		return approval.Key{}, errs.Wrap(err, step, errs.Self)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return approval.Key{}, errs.New(step, errs.Self, path+" may be read by others: set its mode to 0600")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return approval.Key{}, errs.Wrap(err, step, errs.Self)
	}
	key, err := approvalfile.DecodeKey(data)
	return key, errs.Wrap(err, step, errs.Self)
}

// errNothingInForce reports a store without an approved bundle.
var errNothingInForce = errors.New("no bundle was approved yet")
