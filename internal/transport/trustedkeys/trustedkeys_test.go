package trustedkeys

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/state/approval"
)

// file is a trusted-keys file whose versions get distinct times of change.
type file struct {
	path     string
	versions int64
}

func (f *file) write(t *testing.T, content string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(f.path, []byte(content), 0o600))
	f.versions++
	modified := time.Unix(1_700_000_000+f.versions, 0)
	assert.NilError(t, os.Chtimes(f.path, modified, modified))
}

func content(deployment string, operators ...approval.Operator) string {
	text := fmt.Sprintf("[policy]\ndeployment = %s\nrequired-signatures = 1\n", deployment)
	for _, name := range operators {
		seed := bytes.Repeat([]byte{name[0]}, ed25519.SeedSize)
		text += string(approvalfile.EncodeTrusted(approval.Key{Operator: name, Private: ed25519.NewKeyFromSeed(seed)}))
	}
	return text
}

func open(t *testing.T) (*file, *Source) {
	t.Helper()
	f := &file{path: filepath.Join(t.TempDir(), "trusted.ini")}
	f.write(t, content("d", "anna"))
	s, err := Open(f.path, zerolog.Nop())
	assert.NilError(t, err)
	return f, s
}

func TestFileIsReadAgainWhenItChanges(t *testing.T) {
	f, s := open(t)
	first := s.Policy()
	assert.Equal(t, s.Policy(), first)
	f.write(t, content("d", "babis"))
	next := s.Policy()
	assert.Assert(t, next != first)
	assert.Assert(t, next.Keys["babis"] != nil)
	assert.Assert(t, next.Keys["anna"] == nil)
}

func TestUnusableFileLeavesTheFormerKeys(t *testing.T) {
	for name, spoil := range map[string]func(*testing.T, *file){
		"not INI":            func(t *testing.T, f *file) { f.write(t, "[policy") },
		"no operator":        func(t *testing.T, f *file) { f.write(t, content("d")) },
		"another deployment": func(t *testing.T, f *file) { f.write(t, content("e", "babis")) },
		"removed":            func(t *testing.T, f *file) { assert.NilError(t, os.Remove(f.path)) },
	} {
		t.Run(name, func(t *testing.T) {
			f, s := open(t)
			first := s.Policy()
			spoil(t, f)
			assert.Equal(t, s.Policy(), first)
			f.write(t, content("d", "babis"))
			assert.Assert(t, s.Policy().Keys["babis"] != nil)
		})
	}
}

func TestStartNeedsAValidFile(t *testing.T) {
	folder := t.TempDir()
	for _, path := range []string{"", filepath.Join(folder, "missing.ini"), folder} {
		_, err := Open(path, zerolog.Nop())
		assert.Assert(t, err != nil, path)
	}
}
