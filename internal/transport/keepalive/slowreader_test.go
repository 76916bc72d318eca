package keepalive

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Each look at the connection is one second after the one before.
func TestPathIsUnresponsiveOnlyWithoutAcknowledgementOfBytesThatPeerHasRoomFor(t *testing.T) {
	waiting := func(sinceAck time.Duration) unix.TCPInfo {
		return unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED, Unacked: 3, Snd_wnd: 1000, Last_ack_recv: uint32(sinceAck.Milliseconds())}
	}
	closed := unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED, Unacked: 1, Last_ack_recv: 9000}
	nothing := unix.TCPInfo{State: unix.BPF_TCP_ESTABLISHED, Snd_wnd: 1000, Last_ack_recv: 9000}
	ended := unix.TCPInfo{State: unix.BPF_TCP_CLOSE_WAIT, Unacked: 3, Snd_wnd: 1000, Last_ack_recv: 9000}
	for name, c := range map[string]struct {
		looks []unix.TCPInfo
		want  []bool
	}{
		"no acknowledgement":              {[]unix.TCPInfo{waiting(time.Second), waiting(2 * time.Second)}, []bool{false, true}},
		"idle before":                     {[]unix.TCPInfo{nothing, waiting(10 * time.Second), waiting(11 * time.Second)}, []bool{false, false, true}},
		"first bytes after a long pause":  {[]unix.TCPInfo{waiting(10 * time.Second)}, []bool{false}},
		"acknowledged now and then":       {[]unix.TCPInfo{waiting(1900 * time.Millisecond), waiting(time.Second), waiting(1900 * time.Millisecond)}, []bool{false, false, false}},
		"closed window":                   {[]unix.TCPInfo{closed, closed, closed, closed}, []bool{false, false, false, false}},
		"unresponsive once window opened": {[]unix.TCPInfo{closed, closed, waiting(time.Second), waiting(2 * time.Second)}, []bool{false, false, false, true}},
		"peer has ended its bytes":        {[]unix.TCPInfo{ended, ended, ended}, []bool{false, false, false}},
		"nothing sent":                    {[]unix.TCPInfo{nothing, nothing, nothing}, []bool{false, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			watch := pathWatch{respondedAt: now}
			for i := range c.looks {
				now = now.Add(time.Second)
				assert.Equal(t, watch.isUnresponsive(now, &c.looks[i]), c.want[i], "look %d", i)
			}
		})
	}
}
