package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/bench/fleet"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/service"
	"savoryweir/internal/state/timeline"
)

const (
	orderCallers    = 12
	ordersPerCaller = 20
	maxSends        = 40
	slowOrderMillis = 250
	chaosPause      = 300 * time.Millisecond
)

// verdict is what a caller was told last about an order.
type verdict struct {
	key     string
	outcome string // of the last answer, empty if there never was one
	gaveUp  bool   // the caller took "not run" for final and never sent again
}

// TestOrdersRunAtMostOnceWhileProcessesDie sends orders with resends to other
// entries while entries and control processes are killed and frozen and the
// store fails. No order may run twice, none that ended as "not run" may run,
// and all that ended as "ran" did.
func TestOrdersRunAtMostOnceWhileProcessesDie(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	s := startSystem(t, 3)
	for _, plain := range s.services {
		// Orders take long enough for kills to hit them under way, and run although their sender is gone.
		plain.Inject(service.Fault{Kind: service.FaultSlow, DelayMillis: slowOrderMillis})
	}
	var verdicts []verdict
	var mu sync.Mutex // guards verdicts
	var callers sync.WaitGroup
	for c := range orderCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			random := rand.New(rand.NewPCG(seed, uint64(c)))
			for n := range ordersPerCaller {
				v := s.placeOrder(random, fmt.Sprintf("order-%d-%d", c, n))
				mu.Lock()
				verdicts = append(verdicts, v)
				mu.Unlock()
			}
		}()
	}
	finished := make(chan struct{})
	go func() {
		callers.Wait()
		close(finished)
	}()
	s.shakeUntil(finished, rand.New(rand.NewPCG(seed, 99)))

	runs := s.runs()
	told := make(map[string]int)
	for _, v := range verdicts {
		told[v.outcome]++
		assert.Check(t, runs[v.key] <= 1, "%s ran %d times", v.key, runs[v.key])
		switch v.outcome {
		case "ran":
			assert.Check(t, runs[v.key] == 1, "%s was told to have run and did not", v.key)
		case "not_run":
			assert.Check(t, runs[v.key] == 0, "%s was told not to have run and ran", v.key)
		}
	}
	t.Logf("callers were told: %v", told)
	assert.Assert(t, told["ran"] > len(verdicts)/2, "too few orders ran for the test to mean anything: %v", told)
}

// placeOrder sends an order to one entry after another until its end is known.
// One in five callers takes the first "not run" for final.
func (s *system) placeOrder(random *rand.Rand, key string) verdict {
	v := verdict{key: key, gaveUp: random.IntN(5) == 0}
	counts := random.IntN(2) // half of the callers count their sends
	for attempt := range maxSends {
		a := s.order(s.entries[random.IntN(len(s.entries))], key, counts*(attempt+1))
		if a.err == nil {
			v.outcome = a.outcome
		} else {
			v.outcome = ""
		}
		if v.outcome == "ran" || (v.outcome == "not_run" && v.gaveUp) {
			return v
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	return v
}

// shakeUntil brings about faults, one after another, until finished is closed.
// Each round shows every kind of fault in an order of its own.
func (s *system) shakeUntil(finished <-chan struct{}, random *rand.Rand) {
	faults := []func(victim int){
		func(i int) { s.killAndRestart(s.fleet.Processes[i]) },
		func(i int) { s.killAndRestart(s.entries[i]) },
		func(i int) { s.freeze(s.fleet.Processes[i], 2*time.Second) },
		func(i int) { s.freeze(s.entries[i], time.Second) },
		func(int) { s.outage(time.Second) },
		func(int) { s.fleet.Store.SetFaults(objectapi.Faults{LoseAnswers: 5}) },
	}
	for {
		random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
		for _, fault := range faults {
			select {
			case <-finished:
				return
			case <-time.After(chaosPause):
			}
			fault(random.IntN(len(s.entries)))
		}
	}
}

// outage takes the store away for a while.
func (s *system) outage(d time.Duration) {
	s.fleet.Store.SetFaults(objectapi.Faults{Outage: true})
	time.Sleep(d)
	s.fleet.Store.SetFaults(objectapi.Faults{})
}

// process is an entry or a control process.
type process interface {
	Kill() error
	Restart() error
	Freeze() error
	Thaw() error
}

func (s *system) killAndRestart(p process) {
	assert.Check(s.t, p.Kill())
	assert.Check(s.t, p.Restart())
}

func (s *system) freeze(p process, d time.Duration) {
	assert.Check(s.t, p.Freeze())
	time.Sleep(d)
	assert.Check(s.t, p.Thaw())
}

// TestResendsAtTheSameMomentRunOnce sends each order to all entries at once.
func TestResendsAtTheSameMomentRunOnce(t *testing.T) {
	s := startSystem(t, 3)
	for n := range 20 {
		key := fmt.Sprintf("twin-%d", n)
		var senders sync.WaitGroup
		answers := make([]answer, len(s.entries))
		for i, e := range s.entries {
			senders.Add(1)
			go func(i int, e *fleet.Entry) {
				defer senders.Done()
				answers[i] = s.order(e, key, 0)
			}(i, e)
		}
		senders.Wait()
		for i, a := range answers {
			if a.status != http.StatusOK {
				s.explain(key)
			}
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusOK, "entry %d: %s", i, a.body)
			assert.Equal(t, a.body, answers[0].body)
		}
		assert.Equal(t, s.runs()[key], 1)
	}
}

// explain logs what all processes recorded of an order.
func (s *system) explain(key string) {
	var all []timeline.Event
	for _, e := range s.entries {
		events, err := e.Events()
		assert.Check(s.t, err)
		all = append(all, events...)
	}
	for _, p := range s.fleet.Processes {
		events, err := p.Events()
		assert.Check(s.t, err)
		all = append(all, events...)
	}
	for _, e := range all {
		if e.Order == key || strings.HasPrefix(string(e.Kind), "member.") {
			s.t.Logf("%+v", e)
		}
	}
}
