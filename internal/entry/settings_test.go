package entry

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/settings"
)

func TestQueueMustOutlastTheSettlingOfUpstreams(t *testing.T) {
	parse := func(wait string) error {
		var s Settings
		program := settings.Program{Name: "test", Stdout: io.Discard, Stderr: io.Discard}
		_, err := settings.Parse(program, &s, []string{
			"--instance-id=i1", "--instance-zone=z1", "--upstreams-settle=2s", "--queue-max-wait=" + wait,
		})
		return err
	}
	assert.NilError(t, parse("3s"))
	assert.ErrorContains(t, parse("2s"), `--queue-max-wait = "2s": allowed is more than upstreams-settle, which is 2s`)
}
