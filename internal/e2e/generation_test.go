package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/httpapi"
	"savoryweir/internal/standin/engine"
	"savoryweir/internal/standin/service"
)

const (
	streamCallers    = 4
	streamsPerCaller = 12
	streamTokens     = 60
)

// TestStreamsAreWholeWhileEntriesDie reads streams while entries are killed. A
// caller whose stream was cut comes back to another entry with its request's id
// and the offset that it has, and ends with the whole text, each token once.
func TestStreamsAreWholeWhileEntriesDie(t *testing.T) {
	const seed = 5
	t.Logf("seed %d", seed)
	s := startSystem(t, 3)
	finished := make(chan struct{})
	var callers sync.WaitGroup
	for c := range streamCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			for n := range streamsPerCaller {
				s.readWhole(random, fmt.Sprintf("stream-%d-%d", c, n))
			}
		}()
	}
	go func() {
		callers.Wait()
		close(finished)
	}()
	random := rand.New(rand.NewPCG(seed, 99))
	for running := true; running; {
		select {
		case <-finished:
			running = false
		case <-time.After(chaosPause):
			s.killAndRestart(s.entries[random.IntN(len(s.entries))])
		}
	}
}

// readWhole reads one stream to its end over as many entries as it takes.
func (s *system) readWhole(random *rand.Rand, id string) {
	want := engine.Text("banner\x00"+id, streamTokens)
	var got strings.Builder
	offset := 0
	for range maxSends {
		e := s.entries[random.IntN(len(s.entries))]
		headers := map[string]string{httpapi.HeaderRequestID: id}
		if offset > 0 {
			headers[httpapi.HeaderResumeOffset] = strconv.Itoa(offset)
		}
		a := s.chat(e, "banner", id, streamTokens, headers)
		if a.status != http.StatusOK {
			time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
			continue
		}
		part, whole := text(s.t, a.body)
		got.WriteString(part)
		offset += lastOffset(a.body, offset) - offset
		if whole {
			assert.Check(s.t, got.String() == want, "%s: got %q, want %q", id, got.String(), want)
			return
		}
	}
	s.t.Errorf("%s did not end in %d sends", id, maxSends)
}

// lastOffset returns the id of the last whole event of a stream, or before if there is none.
func lastOffset(stream string, before int) int {
	last := before
	for _, event := range strings.SplitAfter(stream, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			continue // the stream was cut within this event
		}
		for _, line := range strings.Split(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				if n, err := strconv.Atoi(id); err == nil {
					last = n
				}
			}
		}
	}
	return last
}

// TestMemoryHoldsDuringRollOutsAndHolderDeaths rolls out new versions while
// control processes die and freeze. Each engine's own account shows that no load
// was ever sent that did not fit, and every model stays reachable.
func TestMemoryHoldsDuringRollOutsAndHolderDeaths(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	s := startSystem(t, 3)
	random := rand.New(rand.NewPCG(seed, 1))
	for version := 2; version <= 6; version++ {
		s.bundle.Models[version%2].Version = strconv.Itoa(version)
		_, err := s.fleet.Approver.Approve(t.Context(), s.fleet.Store, s.bundle)
		assert.NilError(t, err)
		time.Sleep(chaosPause)
		victim := s.fleet.Processes[random.IntN(len(s.fleet.Processes))]
		if random.IntN(2) == 0 {
			s.killAndRestart(victim)
		} else {
			s.freeze(victim, 2*time.Second)
		}
		s.checkReachable()
	}
	for i, m := range s.memory {
		account := m.Account()
		t.Logf("engine %d: %+v", i, account)
		assert.Check(t, account.Refused == 0, "engine %d refused %d loads for memory", i, account.Refused)
		assert.Check(t, account.PeakMiB <= account.CapacityMiB)
	}
}

// checkReachable asks each entry for each model once.
func (s *system) checkReachable() {
	for i, e := range s.entries {
		for _, model := range []string{"banner", "video"} {
			a := s.chat(e, model, "still here", 2, nil)
			_, whole := text(s.t, a.body)
			assert.Check(s.t, whole, "entry %d, model %s: %d %s %v", i, model, a.status, a.body, a.err)
		}
	}
}

// TestControlStopsAfterTheOrdersInProgress stops the control process of an
// instance whose entry runs slow orders. Their results are recorded, so that a
// resend elsewhere is answered from the record.
func TestControlStopsAfterTheOrdersInProgress(t *testing.T) {
	s := startSystem(t, 3)
	for _, plain := range s.services {
		plain.Inject(service.Fault{Kind: service.FaultSlow, DelayMillis: 1500})
	}
	answered := make(chan answer, 1)
	go func() { answered <- s.order(s.entries[0], "slow", 1) }()
	time.Sleep(700 * time.Millisecond) // the order is under way
	assert.NilError(t, s.fleet.Processes[0].Terminate())
	first := <-answered
	assert.Equal(t, first.outcome, "ran", first.body)
	resend := s.order(s.entries[1], "slow", 2)
	assert.Equal(t, resend.outcome, "ran", resend.body)
	assert.Equal(t, resend.body, first.body)
	assert.Equal(t, s.runs()["slow"], 1)
}

// TestShutdownCutsNoStream asks entries to stop while they stream.
func TestShutdownCutsNoStream(t *testing.T) {
	s := startSystem(t, 3)
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			id := fmt.Sprintf("drain-%d", n)
			a := s.chat(s.entries[0], "banner", id, 200, map[string]string{httpapi.HeaderRequestID: id})
			got, whole := text(t, a.body)
			assert.Check(t, whole, "%d %v", a.status, a.err)
			assert.Check(t, got == engine.Text("banner\x00"+id, 200))
		}()
	}
	time.Sleep(300 * time.Millisecond) // the streams are under way
	assert.NilError(t, s.entries[0].Terminate())
	callers.Wait()
}
