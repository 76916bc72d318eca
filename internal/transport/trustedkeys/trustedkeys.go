// Package trustedkeys reads the policy and the public keys of trusted operators
// from a file, and reads it again when it changes, so that keys are replaced
// without a restart.
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

// stamp tells versions of the file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// Source holds the policy of the file's last valid version. It is safe for concurrent use.
type Source struct {
	path string
	log  zerolog.Logger

	mu     sync.Mutex // guards the rest
	tried  stamp      // of the last version that was read, valid or not
	policy *approval.Policy
}

// Open reads the file once and fails if it is not valid.
func Open(path string, log zerolog.Logger) (*Source, error) {
	if path == "" {
		return nil, errs.New(step, errs.Self, "the setting trusted-keys is empty")
	}
	s := &Source{path: path, log: log}
	tried, err := s.stat()
	if err != nil {
		return nil, err
	}
	policy, err := s.read()
	if err != nil {
		return nil, err
	}
	s.tried, s.policy = tried, policy
	return s, nil
}

// Policy returns the present policy, which must not be changed. The pointer stays
// the same until another version of the file is valid.
func (s *Source) Policy() *approval.Policy {
	found, err := s.stat()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || found == s.tried {
		return s.policy
	}
	s.tried = found
	next, err := s.read()
	if err == nil && next.Deployment != s.policy.Deployment {
		err = errs.New(step, errs.Self, "the file names another deployment, "+next.Deployment)
	}
	if err != nil {
		s.log.Error().Err(err).Msg("Trusted keys not read again; the former ones stay.")
		return s.policy
	}
	s.log.Info().Int("operators", len(next.Keys)).Int("required", next.Required).Msg("Trusted keys read again.")
	s.policy = next
	return s.policy
}

func (s *Source) stat() (stamp, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return stamp{}, errs.Wrap(err, step, errs.Self)
	}
	return stamp{info.ModTime(), info.Size()}, nil
}

func (s *Source) read() (*approval.Policy, error) {
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
