package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/review/world"
)

const (
	adapterSlots   = 8 // as on the sheet
	beatInterval   = 1200 * time.Millisecond
	unansweredFrom = 1800 * time.Millisecond // after the long stream began
	unansweredFor  = 5500 * time.Millisecond
	lateBy         = 4300 * time.Millisecond // 2 to 12 s, from applied_late
)

// lateAdapterOrder has an engine leave half of its orders unanswered and carry them out late. LIMIT: an engine is ordered
// to load more adapters than it has slots for.
func lateAdapterOrder(s *scene) (int, error) {
	var broken, orders atomic.Int64
	var from atomic.Int64 // start of the disruption in Unix nanoseconds, 0 before
	e := &world.AdapterEngine{ID: "i-engine0", Model: tagModel, Born: time.Now(), Slots: adapterSlots, Gap: 30 * time.Millisecond, LateBy: lateBy, Log: s.Record.Write}
	e.Unanswered = func() bool {
		start := from.Load()
		since := time.Since(time.Unix(0, start))
		return s.trouble && start != 0 && since >= 0 && since < unansweredFor && orders.Add(1)%2 == 0
	}
	e.OnOverload = func(running int) {
		broken.Add(1)
		s.Record.Write("BROKEN: %s is ordered to load one adapter more than it has slots for, and crashes; it works on %d requests", e.ID, running)
	}
	address, err := s.Serve(e)
	if err != nil {
		return 0, err
	}
	done := make(chan struct{})
	defer close(done)
	beat := func(seq int) error {
		return s.PutServer(e.ID, world.Server{Service: "tagger-llm", Address: address, Zone: "zone-0", Version: "1", Slots: 64, State: "ready", Seq: seq, Born: e.Born.UnixMilli(), Models: e.Models()})
	}
	if err := beat(0); err != nil {
		return 0, err
	}
	go func() {
		for seq := 1; ; seq++ {
			select {
			case <-time.After(beatInterval):
				_ = beat(seq) // the store is in this process
			case <-done:
				return
			}
		}
	}()
	err = s.PutConfig(1, tagModel, world.Route{
		Name: "creative-tag", Host: "tags.example", PathPrefix: "/tag/", Kind: "stream", Service: "tagger-llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 10000, TargetMs: 600, GapAimMs: 300, Priority: 1,
	})
	if err != nil {
		return 0, err
	}
	if err := s.StartNodes(instances); err != nil {
		return 0, err
	}
	s.fillAdapters()
	s.contend(&from)
	return int(broken.Load()), nil
}

// fillAdapters has each slot taken by an adapter.
func (s *scene) fillAdapters() {
	for a := 1; a <= adapterSlots; a++ {
		for try := 0; try < 20 && s.ask(0, a, 2) != http.StatusOK; try++ {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// contend asks for two adapters more than there are slots for, while the one that is to make room is in use.
func (s *scene) contend(from *atomic.Int64) {
	var group sync.WaitGroup
	askAt := func(after time.Duration, adapter, events int) {
		group.Go(func() {
			time.Sleep(after)
			s.ask(int(after/time.Millisecond)%instances, adapter, events)
		})
	}
	askAt(0, 1, 173) // 5.2 s, by the adapter with the least demand
	for a := 2; a <= adapterSlots; a++ {
		for n := range 4 {
			askAt(50*time.Millisecond+time.Duration(n)*50*time.Millisecond, a, 2)
		}
	}
	from.Store(time.Now().Add(unansweredFrom).UnixNano())
	askAt(1500*time.Millisecond, adapterSlots+1, 2)
	askAt(2800*time.Millisecond, adapterSlots+1, 2)
	for n := range 3 {
		askAt(4400*time.Millisecond+time.Duration(n)*700*time.Millisecond, adapterSlots+2, 2)
	}
	for n := range 14 { // other callers, whose streams are lost if the engine crashes
		askAt(3*time.Second+time.Duration(n)*500*time.Millisecond, 2+n%(adapterSlots-1), 30)
	}
	group.Wait()
}

var askCount atomic.Int64

// ask sends a request for a stream with an adapter and returns the status, 0 if the answer did not arrive.
func (s *scene) ask(instance, adapter, events int) int {
	request := fmt.Sprintf("%016x", askCount.Add(1))
	call, err := http.NewRequest(http.MethodPost, "http://"+s.Nodes[instance].Callers+"/tag/1", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	call.Host = "tags.example"
	for name, value := range map[string]string{
		"Request-Id": request, "Deadline-Ms": "10000", "Model": fmt.Sprintf("%s/a%d", tagModel, adapter), "Token-Count": fmt.Sprintf("1460,%d", events), "Prompt-Prefix": "5c1e07a2:568," + request + ":892",
	} {
		call.Header.Set(name, value)
	}
	client := http.Client{Timeout: 12 * time.Second}
	response, err := client.Do(call)
	if err != nil {
		s.Record.Write("request %s for a%d to front-%d: %v", request, adapter, instance, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.Record.Write("request %s for a%d to front-%d: status %d, %d bytes, %v", request, adapter, instance, response.StatusCode, len(body), err)
	return response.StatusCode
}
