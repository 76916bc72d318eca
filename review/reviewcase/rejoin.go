package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/review/world"
)

const (
	enginesPerVersion = 3
	noteEvents        = 57
	noteGap           = 150 * time.Millisecond
	noteDeadline      = 15 * time.Second
	noteCount         = 24
	// inTouchAfter is longer than stableMs (3,000), after which an instance that was started is in touch.
	inTouchAfter = 3500 * time.Millisecond
)

// streamsAfterKill kills all instances while engines of two software versions serve. LOST: of the streams that clients
// take up again at machines in touch, less than half as many go on as new streams begin.
func streamsAfterKill(s *scene) (int, error) {
	for i := range 2 * enginesPerVersion {
		e := &world.Engine{ID: fmt.Sprintf("i-engine%d", i), Model: tagModel, Born: time.Now(), Events: noteEvents, Gap: noteGap}
		e.OnEvent = func(request string, n int) { s.Record.Write("%s writes event %d of request %s", e.ID, n, request) }
		address, err := s.Serve(e)
		if err != nil {
			return 0, err
		}
		version := strconv.Itoa(1 + i/enginesPerVersion)
		s.Record.Write("%s serves software version %s", e.ID, version)
		if err := s.PutServer(e.ID, world.Server{Service: "tagger-llm", Address: address, Zone: fmt.Sprintf("zone-%d", i%instances), Version: version, Slots: 64, State: "ready", Born: e.Born.UnixMilli(), Models: e.Models()}); err != nil {
			return 0, err
		}
	}
	err := s.PutConfig(1, tagModel, world.Route{
		Name: "traffic-notes", Host: "notes.example", PathPrefix: "/notes/", Kind: "stream", Service: "tagger-llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 15000, TargetMs: 500, GapAimMs: 300,
	})
	if err != nil {
		return 0, err
	}
	if err := s.StartNodes(instances); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the versions that serve are recorded
	var group sync.WaitGroup
	var broken sync.Map
	var whole atomic.Int64
	startedAt := time.Now()
	for n := range noteCount {
		group.Go(func() {
			request := fmt.Sprintf("%016x", n)
			last := s.notes(n%instances, request, "", 0, noteDeadline)
			if last == noteEvents {
				whole.Add(1)
			} else {
				broken.Store(request, last)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	if s.trouble {
		time.Sleep(1500 * time.Millisecond)
		if err := s.KillAll(); err != nil {
			return 0, err
		}
		if err := s.AwaitReady(); err != nil {
			return 0, err
		}
		time.Sleep(inTouchAfter)
	}
	if !s.trouble {
		group.Wait()
		s.Record.Write("%d of %d streams were whole", whole.Load(), noteCount)
		return 0, nil
	}
	group.Wait()
	return s.takeUp(&broken, noteDeadline-time.Since(startedAt)), nil
}

// takeUp takes the broken streams up again and begins as many new ones. It returns how often the rule was broken.
func (s *scene) takeUp(broken *sync.Map, left time.Duration) int {
	var group sync.WaitGroup
	var taken, goOn, begun, begin atomic.Int64
	broken.Range(func(key, value any) bool {
		request, last := key.(string), value.(int)
		if last == 0 {
			return true // it had not begun
		}
		n := int(taken.Add(1))
		group.Go(func() {
			if s.notes(n%instances, fmt.Sprintf("%016x", 1000+n), request, last, left) > last {
				goOn.Add(1)
			}
		})
		group.Go(func() {
			begun.Add(1)
			if s.notes(n%instances, fmt.Sprintf("%016x", 2000+n), "", 0, left) > 0 {
				begin.Add(1)
			}
		})
		return true
	})
	group.Wait()
	s.Record.Write("of %d streams that clients took up again %d went on; of %d new streams %d began", taken.Load(), goOn.Load(), begun.Load(), begin.Load())
	if taken.Load() < 12 || begun.Load() == 0 {
		return 0
	}
	shareOn, shareNew := float64(goOn.Load())/float64(taken.Load()), float64(begin.Load())/float64(begun.Load())
	if shareOn < shareNew/2 {
		s.Record.Write("BROKEN: the share of streams that go on is %.2f, that of new streams that begin %.2f", shareOn, shareNew)
		return 1
	}
	return 0
}

// notes sends a request for a stream, or takes up the one that began with the request resumes after its event last.
// It returns the number of the last event that arrived in order, last if none did.
func (s *scene) notes(instance int, request, resumes string, last int, left time.Duration) int {
	call, err := http.NewRequest(http.MethodPost, "http://"+s.Nodes[instance].Callers+"/notes/1", strings.NewReader("{}"))
	if err != nil {
		return last
	}
	call.Host = "notes.example"
	for name, value := range map[string]string{
		"Request-Id": request, "Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Model": tagModel, "Token-Count": "1460,171", "Prompt-Prefix": "5c1e07a2:350," + request + ":1110",
	} {
		call.Header.Set(name, value)
	}
	if resumes != "" {
		call.Header.Set("Last-Event-Id", strconv.Itoa(last))
		call.Header.Set("Resumes", resumes)
	}
	client := http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(call)
	if err != nil {
		s.Record.Write("request %s to front-%d: %v", request, instance, err)
		return last
	}
	defer func() { _ = response.Body.Close() }()
	s.Record.Write("request %s to front-%d, takes up %q after %d: status %d", request, instance, resumes, last, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return last
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok && id == strconv.Itoa(last+1) {
			last++
		}
	}
	s.Record.Write("request %s: the stream ended after event %d: %v", request, last, lines.Err())
	return last
}
