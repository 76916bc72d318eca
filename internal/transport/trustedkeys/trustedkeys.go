// Package trustedkeys reads the signature policy and the public keys of trusted operators
// from a file. It reloads the file when it changes, so that keys can be replaced without a
// restart.
package trustedkeys

import (
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/state/approval"
)

const step errs.Step = "read trusted keys"

// fileVersion identifies a version of the file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Source holds the policy of the last valid version of the file. It is safe for concurrent
// use.
type Source struct {
	path string
	log  zerolog.Logger

	mu       sync.Mutex  // guards the fields below
	lastRead fileVersion // the last version that was read, valid or not
	policy   *approval.Policy
}

// Open reads the file and returns an error if it is not valid.
func Open(path string, log zerolog.Logger) (*Source, error) {
	if path == "" {
		return nil, errs.New(step, errs.Self, "the setting trusted-keys is empty")
	}
	s := &Source{path: path, log: log}
	lastRead, err := s.readVersion()
	if err != nil {
		return nil, err
	}
	policy, err := s.readPolicy()
	if err != nil {
		return nil, err
	}
	s.lastRead, s.policy = lastRead, policy
	return s, nil
}

// Policy returns the current policy, which the caller must not modify. It reloads the file
// if it has changed. The pointer stays the same until a new valid version was read.
func (s *Source) Policy() *approval.Policy {
	found, err := s.readVersion()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || found == s.lastRead {
		return s.policy
	}
	s.lastRead = found
	next, err := s.readPolicy()
	if err == nil && next.Deployment != s.policy.Deployment {
		err = errs.New(step, errs.Self, "the file names another deployment, "+next.Deployment)
	}
	if err != nil {
		s.log.Error().Err(err).Msg("Trusted keys not reloaded; the previous keys remain in use.")
		return s.policy
	}
	s.log.Info().Int("operators", len(next.Keys)).Int("required", next.Required).Msg("Trusted keys reloaded.")
	s.policy = next
	return s.policy
}

// readVersion returns the current version of the file.
func (s *Source) readVersion() (fileVersion, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return fileVersion{}, errs.Wrap(err, step, errs.Self)
	}
	return fileVersion{info.ModTime(), info.Size()}, nil
}

// readPolicy reads and decodes the file.
func (s *Source) readPolicy() (*approval.Policy, error) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return nil, errs.Wrap(err, step, errs.Self)
	}
	policy, err := approvalfile.DecodePolicy(s.path, data)
	if err != nil {
		return nil, errs.Wrap(err, step, errs.Self)
	}
	return &policy, nil
}
