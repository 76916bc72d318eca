package entry

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"savoryweir/internal/coordination/admission"
	"savoryweir/internal/coordination/limit"
	"savoryweir/internal/coordination/outlier"
	"savoryweir/internal/coordination/retry"
	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/settings"
)

// A request must be able to wait until an upstream that is down has lost its place in the selection.
func TestQueueMaxWaitMustExceedUpstreamSettle(t *testing.T) {
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

// The policy benchmark runs with the defaults of the coordination packages. An entry without a
// settings file must use the same values, so that it decides as measured.
func TestDefaultsMatchCoordinationPackages(t *testing.T) {
	s := defaultSettings(t)
	retries := retry.DefaultSettings()
	assert.Equal(t, s.Upstreams.MaxAttempts, retries.MaxAttempts)
	assert.Equal(t, s.Upstreams.RetryShare, retries.BudgetRatio)
	assert.Equal(t, s.Upstreams.RetryBurst, retries.Burst)
	ejection := outlier.DefaultSettings()
	assert.Equal(t, s.Upstreams.EjectAfter, ejection.ConsecutiveFailures)
	assert.Equal(t, s.Upstreams.EjectFor, ejection.BaseEjectionTime)
	hashedPair := routing.DefaultHashedPairSettings("")
	assert.Equal(t, s.Upstreams.Settle, hashedPair.SettleTime)
	assert.Equal(t, s.Upstreams.Overbook, hashedPair.Overbook)
	assert.Equal(t, s.Upstreams.PrefixBonus, hashedPair.PrefixAffinity)
	assert.Equal(t, s.Upstreams.ZonePenalty, hashedPair.ZonePenalty)
	assert.Equal(t, s.Upstreams.MaxInFlight, limit.DefaultSettings().Max)
	assert.Equal(t, s.Queue.RetryAfter, admission.DefaultSettings().RetryAfterMin)
}
