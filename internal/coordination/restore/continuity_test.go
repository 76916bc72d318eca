package restore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/object"
)

// What the store had acknowledged since the copy is known to those alone that had followed it until it went away. An instance that
// had not, or has just started, took the copy for the past.
func TestPastIsKnownAfterRestoreOnlyIfChangesWereFollowed(t *testing.T) {
	const s = time.Second
	for name, test := range map[string]struct {
		views map[time.Duration]View
		at    time.Duration // of the return
		want  bool
	}{
		"just started":                        {nil, s, false},
		"never heard of changes":              {map[time.Duration]View{s: ViewUnconfirmed}, 2 * s, false},
		"followed all changes":                {map[time.Duration]View{s: ViewCurrent}, s, true},
		"store away for a moment":             {map[time.Duration]View{s: ViewCurrent, 2 * s: ViewUnconfirmed}, s + maxUnseenTime, true},
		"cut off for long":                    {map[time.Duration]View{s: ViewCurrent, 2 * s: ViewUnconfirmed}, s + maxUnseenTime + 1, false},
		"others are ahead":                    {map[time.Duration]View{s: ViewCurrent, 2 * s: ViewBehind}, 2 * s, false},
		"others are ahead, then silent":       {map[time.Duration]View{s: ViewCurrent, 2 * s: ViewBehind, 3 * s: ViewUnconfirmed}, 3 * s, false},
		"has caught up":                       {map[time.Duration]View{s: ViewBehind, 2 * s: ViewCurrent}, 2 * s, true},
		"cut off for long, then heard others": {map[time.Duration]View{s: ViewCurrent, 60 * s: ViewCurrent}, 61 * s, true},
	} {
		t.Run(name, func(t *testing.T) {
			var c Continuity
			for at := time.Duration(0); at <= test.at; at += s {
				if v, ok := test.views[at]; ok {
					c.Observe(at, v)
				}
			}
			assert.Equal(t, c.Enter(test.at, 3), test.want)
			assert.Equal(t, c.Era(), object.Era(3))
			assert.Assert(t, !c.Enter(test.at, 4), "nothing has been heard of era 3")
		})
	}
}
