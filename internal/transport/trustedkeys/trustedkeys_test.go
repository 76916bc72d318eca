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

// keysFile is a trusted-keys file whose versions get distinct modification times.
type keysFile struct {
	path     string
	versions int64
}

func (f *keysFile) write(t *testing.T, content string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(f.path, []byte(content), 0o600))
	f.versions++
	modified := time.Unix(1_700_000_000+f.versions, 0)
	assert.NilError(t, os.Chtimes(f.path, modified, modified))
}

// encodeFile returns a trusted-keys file that requires one signature.
func encodeFile(deployment string, operators ...approval.Operator) string {
	text := fmt.Sprintf("[policy]\ndeployment = %s\nrequired-signatures = 1\n", deployment)
	for _, name := range operators {
		seed := bytes.Repeat([]byte{name[0]}, ed25519.SeedSize)
		text += string(approvalfile.EncodeTrustedKey(approval.Key{Operator: name, Private: ed25519.NewKeyFromSeed(seed)}))
	}
	return text
}

// openSource writes a valid file and opens it.
func openSource(t *testing.T) (*keysFile, *Source) {
	t.Helper()
	f := &keysFile{path: filepath.Join(t.TempDir(), "trusted.ini")}
	f.write(t, encodeFile("d", "anna"))
	s, err := Open(f.path, zerolog.Nop())
	assert.NilError(t, err)
	return f, s
}

func TestChangedFileIsReloaded(t *testing.T) {
	f, s := openSource(t)
	first := s.Policy()
	assert.Equal(t, s.Policy(), first)
	f.write(t, encodeFile("d", "babis"))
	next := s.Policy()
	assert.Assert(t, next != first)
	assert.Assert(t, next.Keys["babis"] != nil)
	assert.Assert(t, next.Keys["anna"] == nil)
}

func TestInvalidFileKeepsPreviousKeysInUse(t *testing.T) {
	for name, invalidate := range map[string]func(*testing.T, *keysFile){
		"not INI":            func(t *testing.T, f *keysFile) { f.write(t, "[policy") },
		"no operator":        func(t *testing.T, f *keysFile) { f.write(t, encodeFile("d")) },
		"another deployment": func(t *testing.T, f *keysFile) { f.write(t, encodeFile("e", "babis")) },
		"removed":            func(t *testing.T, f *keysFile) { assert.NilError(t, os.Remove(f.path)) },
	} {
		t.Run(name, func(t *testing.T) {
			f, s := openSource(t)
			first := s.Policy()
			invalidate(t, f)
			assert.Equal(t, s.Policy(), first)
			f.write(t, encodeFile("d", "babis"))
			assert.Assert(t, s.Policy().Keys["babis"] != nil)
		})
	}
}

func TestOpenFailsWithoutValidFile(t *testing.T) {
	directory := t.TempDir()
	for _, path := range []string{"", filepath.Join(directory, "missing.ini"), directory} {
		_, err := Open(path, zerolog.Nop())
		assert.Assert(t, err != nil, path)
	}
}
