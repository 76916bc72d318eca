package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

// A lowered limit must not refuse heads that were sent before, and a raised one applies at once.
func TestFormerHeaderLimitAppliesForHeaderTimeoutAfterLowering(t *testing.T) {
	start := time.Now()
	type change struct {
		after         time.Duration
		bytes         int
		headerTimeout time.Duration
	}
	for name, test := range map[string]struct {
		changes []change
		after   time.Duration
		want    int
	}{
		"first":                         {[]change{{0, 4096, time.Second}}, 0, 4096},
		"none stated":                   {[]change{{0, 0, time.Second}}, 0, http.DefaultMaxHeaderBytes},
		"raised":                        {[]change{{0, 4096, time.Second}, {1 * time.Second, 8192, time.Second}}, time.Second, 8192},
		"just lowered":                  {[]change{{0, 8192, 3 * time.Second}, {time.Second, 4096, time.Second}}, 4999 * time.Millisecond, 8192},
		"lowered long ago":              {[]change{{0, 8192, 3 * time.Second}, {time.Second, 4096, time.Second}}, 5 * time.Second, 4096},
		"lowered with a longer timeout": {[]change{{0, 8192, time.Second}, {time.Second, 4096, 5 * time.Second}}, 6999 * time.Millisecond, 8192},
		"lowered, then unchanged":       {[]change{{0, 8192, time.Second}, {time.Second, 4096, time.Second}, {2 * time.Second, 4096, time.Second}}, 2999 * time.Millisecond, 8192},
		"unchanged doesn't prolong":     {[]change{{0, 8192, time.Second}, {time.Second, 4096, time.Second}, {2 * time.Second, 4096, time.Second}}, 3 * time.Second, 4096},
		"lowered twice":                 {[]change{{0, 16384, time.Second}, {time.Second, 8192, time.Second}, {2 * time.Second, 4096, time.Second}}, 2500 * time.Millisecond, 16384},
		"lowered, then raised":          {[]change{{0, 16384, time.Second}, {time.Second, 4096, time.Second}, {2 * time.Second, 8192, time.Second}}, 2500 * time.Millisecond, 16384},
		"raised in the end":             {[]change{{0, 16384, time.Second}, {time.Second, 4096, time.Second}, {2 * time.Second, 8192, time.Second}}, 4 * time.Second, 8192},
	} {
		t.Run(name, func(t *testing.T) {
			var limit headerLimit
			for _, c := range test.changes {
				limit = limit.changeTo(fleet.Limits{MaxHeaderBytes: c.bytes, HeaderTimeout: c.headerTimeout}, start.Add(c.after))
			}
			assert.Equal(t, limit.at(start.Add(test.after)), test.want)
		})
	}
}
