package restore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After the loss of all instances, a copy of the store tells the past only if no version can have begun streams since it was made.
func TestCopyTellsPastOnlyIfNewVersionsBeganNoStreamsSince(t *testing.T) {
	now := time.Unix(1800000000, 0)
	const delay = 15 * time.Second
	recent := func(change func(*Copy)) Copy {
		c := Copy{HasLease: true, LeaseEra: 2, LeaseRenewedAt: now.Add(-4 * time.Second), HasRecord: true, RecordEra: 2, KnowsPast: true}
		change(&c)
		return c
	}
	for name, test := range map[string]struct {
		copy  Copy
		delay time.Duration
		want  bool
	}{
		"recent":                                {recent(func(*Copy) {}), delay, true},
		"almost too old":                        {recent(func(c *Copy) { c.LeaseRenewedAt = now.Add(-8*time.Second + 1) }), delay, true},
		"too old":                               {recent(func(c *Copy) { c.LeaseRenewedAt = now.Add(-8 * time.Second) }), delay, false},
		"clock of the holder is ahead":          {recent(func(c *Copy) { c.LeaseRenewedAt = now.Add(time.Second) }), delay, true},
		"clock of the holder is wrong":          {recent(func(c *Copy) { c.LeaseRenewedAt = now.Add(time.Minute) }), delay, false},
		"holder of a build that tells no time":  {recent(func(c *Copy) { c.LeaseRenewedAt = time.UnixMilli(0) }), delay, false},
		"no holder":                             {recent(func(c *Copy) { c.HasLease = false }), delay, false},
		"no record":                             {recent(func(c *Copy) { c.HasRecord = false }), delay, false},
		"record of before the last restore":     {recent(func(c *Copy) { c.RecordEra = 1 }), delay, false},
		"its writer did not know the past":      {recent(func(c *Copy) { c.KnowsPast = false }), delay, false},
		"nothing had been written":              {Copy{}, delay, true},
		"new versions begin streams at once":    {recent(func(*Copy) {}), 0, false},
		"nothing written, no delay":             {Copy{}, 0, false},
		"the delay is as long as recording":     {recent(func(*Copy) {}), recordTime + maxClockError, false},
		"the delay is shorter than the copy is": {recent(func(*Copy) {}), 10 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.copy.TellsPast(now, test.delay), test.want)
		})
	}
}
