package ctl

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"savoryweir/internal/coordination/bundlecheck"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
	"savoryweir/internal/transport/bundlestore"
)

// loaded is a bundle that a command names, with its files if it has any.
type loaded struct {
	bundle  *bundle.Bundle
	encoded bundlefile.Encoded
	files   bundle.SectionFiles
}

// inForce is the bundle that processes have in force. Bundle is nil when there is none.
type inForce struct {
	// pointer is the latest approval. The next one follows it, also if it is not
	// signed as the policy requires.
	pointer bundlestore.Pointer
	signed  approval.Approval // the latest one that is
	bundle  *bundle.Bundle
}

// readDirectory reads all INI files of a bundle.
func readDirectory(path string) ([]bundlefile.File, error) {
	const step errs.Step = "read bundle"
	names, err := filepath.Glob(filepath.Join(path, "*.ini"))
	if err != nil {
		return nil, errs.Wrap(err, step, errs.Self)
	}
	if len(names) == 0 {
		return nil, errs.New(step, errs.Self, path+" holds no file *.ini")
	}
	var files []bundlefile.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errs.Wrap(err, step, errs.Self)
		}
		files = append(files, bundlefile.File{Name: filepath.Base(name), Data: data})
	}
	return files, nil
}

// load reads the bundle that name stands for: a directory, a generation or the hash of
// a manifest. Faults of files come back together with those of the check.
func (env *Environment) load(name string, old *bundle.Bundle) (loaded, error) {
	if info, err := os.Stat(name); err == nil && info.IsDir() {
		return loadDirectory(name, old)
	}
	manifest, err := env.resolve(name)
	if err != nil {
		return loaded{}, err
	}
	b, err := env.store().Bundle(env.Context, manifest)
	if err != nil {
		return loaded{}, err
	}
	return checked(loaded{bundle: b}, nil, old)
}

func loadDirectory(path string, old *bundle.Bundle) (loaded, error) {
	files, err := readDirectory(path)
	if err != nil {
		return loaded{}, err
	}
	b, source, faults := bundlefile.Parse(files)
	return checked(loaded{bundle: b, files: source}, faults, old)
}

// checked adds the faults of the check to those of reading the files. Sections that
// could not be read right are left out of the check's faults, and nothing is checked
// when a whole file could not be read.
func checked(l loaded, unreadable []bundle.Fault, old *bundle.Bundle) (loaded, error) {
	faults := slices.Clone(unreadable)
	if !slices.ContainsFunc(unreadable, func(f bundle.Fault) bool { return f.Section == "" }) {
		for _, fault := range bundlecheck.Check(bundlecheck.Input{New: l.bundle, Old: old, Files: l.files}) {
			if !slices.ContainsFunc(unreadable, func(f bundle.Fault) bool { return f.Section == fault.Section }) {
				faults = append(faults, fault)
			}
		}
	}
	if err := bundle.JoinFaults(faults); err != nil {
		return loaded{}, err
	}
	var err error
	l.encoded, err = bundlefile.Encode(l.bundle)
	return l, errs.Wrap(err, "encode bundle", errs.Self)
}

// resolve finds the manifest of a generation or reads a hash.
func (env *Environment) resolve(name string) (bundle.Hash, error) {
	const step errs.Step = "find bundle"
	if generation, err := strconv.ParseUint(name, 10, 64); err == nil && len(name) < len(bundle.Hash{}) {
		approved, err := env.store().ApprovalOf(env.Context, bundle.Generation(generation))
		if err != nil {
			return bundle.Hash{}, errs.Wrap(err, step+errs.Step(fmt.Sprintf(" of generation %d", generation)), "store")
		}
		return approved.Manifest, nil
	}
	hash, err := bundle.ParseHash(name)
	if err != nil {
		return bundle.Hash{}, errs.New(step, errs.Self, fmt.Sprintf("%q is no directory, no generation and no hash of a manifest", name))
	}
	return hash, nil
}

// inForce reads the bundle that processes have in force. Approvals that the trusted
// keys do not vouch for are passed over, as the processes do.
func (env *Environment) inForce() (inForce, error) {
	policy, err := env.policy()
	if err != nil {
		return inForce{}, err
	}
	o, err := env.client.Get(env.Context, approvalfile.KindPointer, approvalfile.PointerName)
	if errors.Is(err, object.ErrNotFound) {
		return inForce{}, nil
	}
	if err != nil {
		return inForce{}, errs.Wrap(err, "read bundle pointer", "store")
	}
	pointer, err := bundlestore.DecodePointer(o)
	if err != nil {
		return inForce{}, err
	}
	latest, err := bundlestore.LatestSigned(env.Context, env.client, policy, o, 0)
	if err != nil {
		return inForce{}, err
	}
	for _, refused := range latest.Rejected {
		fmt.Fprintf(env.Stderr, "Generation %d is in force nowhere: %v\n", refused.Head.Generation, refused.Cause)
	}
	current := inForce{pointer: pointer, signed: latest.Approval}
	if latest.Version != 0 {
		current.bundle, err = env.store().Bundle(env.Context, latest.Approval.Manifest)
	}
	return current, err
}
