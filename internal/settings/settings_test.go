package settings

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type queueSettings struct {
	MaxWait time.Duration `default:"2s" min:"10ms" max:"1m"`
	Length  int           `default:"100" min:"1" max:"1000"`
	Share   float64       `default:"0.1" min:"0" max:"1"`
}

type testSettings struct {
	Common
	Queue queueSettings `embed:"" prefix:"queue-"`
	Log   struct {
		Level string `default:"info" enum:"info,debug"`
	} `embed:"" prefix:"log-"`
}

func parse(t *testing.T, content string, args ...string) (testSettings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "test.ini")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	var s testSettings
	_, err := Parse(Program{Name: "test", Stdout: io.Discard, Stderr: io.Discard}, &s, append([]string{"--settings", path}, args...))
	return s, err
}

func TestFlagOverridesEnvironmentAndEnvironmentOverridesFile(t *testing.T) {
	t.Setenv("SAVORYWEIR_QUEUE_LENGTH", "20")
	t.Setenv("SAVORYWEIR_QUEUE_SHARE", "0.5")
	s, err := parse(t, "[queue]\nmax-wait = 3s\nlength = 10\nshare = 0.2\n", "--queue-length=30")
	assert.NilError(t, err)
	assert.Equal(t, s.Queue.MaxWait, 3*time.Second)
	assert.Equal(t, s.Queue.Length, 30)
	assert.Equal(t, s.Queue.Share, 0.5)
}

func TestParseReportsAllInvalidSettingsOfTheFile(t *testing.T) {
	_, err := parse(t, "[queue]\nmax-wait = soon\nlength = 5000\nlenght = 5\n[log]\nlevel = loud\n")
	var invalid *ValidationError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Violations), 4)
	assert.ErrorContains(t, err, `[queue] length = "5000": allowed is a whole number from 1 to 1000`)
	assert.ErrorContains(t, err, `[queue] max-wait = "soon": allowed is a duration from 10ms to 1m`)
	assert.ErrorContains(t, err, `[queue] lenght = "5": allowed is nothing: the key is unknown`)
	assert.ErrorContains(t, err, `[log] level = "loud": allowed is one of info,debug`)
}

func TestParseRejectsFlagOutOfRange(t *testing.T) {
	_, err := parse(t, "", "--queue-length=0")
	assert.ErrorContains(t, err, `--queue-length = "0": allowed is a whole number from 1 to 1000`)
}

// FuzzFile parses settings files with arbitrary content. Parse must reject an invalid file
// without a panic and accept only values within their ranges.
func FuzzFile(f *testing.F) {
	for _, seed := range []string{
		"", "[queue]\nmax-wait = 3s\n", "[queue\n", "= 1", "[queue]\nlength = 99999999999999999999\n",
		"[queue]\nshare = NaN\n", "[]\n\x00 = \x00", "[queue]\nmax-wait = -1h\n", "[queue]\nlength = %(length)s\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content string) {
		s, err := parse(t, content)
		if err != nil {
			return
		}
		assert.Assert(t, s.Queue.Length >= 1 && s.Queue.Length <= 1000)
		assert.Assert(t, s.Queue.MaxWait >= 10*time.Millisecond && s.Queue.MaxWait <= time.Minute)
		assert.Assert(t, s.Queue.Share >= 0 && s.Queue.Share <= 1, "share is %v", s.Queue.Share)
	})
}
