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
	engineCount = 3
	eventCount  = 8
	tagModel    = "m0"
	tagGap      = time.Second / 40 // creative-tag and traffic-notes have 40 a second on the sheet
	cutEach     = 33               // 3 in 100 of the answers of an engine, from garble
	cutFrom     = 5 * time.Second
	cutFor      = 5500 * time.Millisecond
)

// streamCutInEvent has one of three engines stop some of its answers in the middle of an event. ORDER: the
// stream ends as complete before its last piece.
func streamCutInEvent(s *scene) (int, error) {
	startedAt := time.Now()
	for i := range engineCount {
		e := &world.Engine{ID: fmt.Sprintf("i-engine%d", i), Model: tagModel, Born: time.Now(), Events: eventCount, Gap: 30 * time.Millisecond}
		e.OnEvent = func(request string, n int) {
			if n == 1 {
				s.Record.Write("%s begins the answer to request %s", e.ID, request)
			}
		}
		if s.trouble && i == 0 {
			var answers atomic.Int64
			e.Cut = func(request string, n int) bool {
				since := time.Since(startedAt)
				if n != eventCount/2 || since < cutFrom || since >= cutFrom+cutFor || answers.Add(1)%cutEach != 0 {
					return false
				}
				s.Record.Write("%s stops the answer to request %s in the middle of event %d", e.ID, request, n)
				return true
			}
		}
		address, err := s.Serve(e)
		if err != nil {
			return 0, err
		}
		if err := s.PutServer(e.ID, world.Server{Service: "tagger-llm", Address: address, Zone: fmt.Sprintf("zone-%d", i), Version: "1", Slots: 64, State: "ready", Born: e.Born.UnixMilli(), Models: e.Models()}); err != nil {
			return 0, err
		}
	}
	err := s.PutConfig(1, tagModel, world.Route{
		Name: "creative-tag", Host: "tags.example", PathPrefix: "/tag/", Kind: "stream", Service: "tagger-llm", MaxAttempts: 2, Resumable: true, TimeoutMs: 4000, TargetMs: 600, GapAimMs: 300, Priority: 1,
	})
	if err != nil {
		return 0, err
	}
	if err := s.StartNodes(instances); err != nil {
		return 0, err
	}
	startedAt = time.Now()
	var broken, whole atomic.Int64
	var group sync.WaitGroup
	for n := 0; time.Since(startedAt) < playTime; n++ {
		group.Go(func() {
			switch s.tag(n%instances, fmt.Sprintf("%016x", n)) {
			case streamWhole:
				whole.Add(1)
			case streamFalselyComplete:
				broken.Add(1)
			case streamFailed:
			}
		})
		time.Sleep(tagGap)
	}
	group.Wait()
	s.Record.Write("%d streams were whole; %d ended as complete before their last piece", whole.Load(), broken.Load())
	return int(broken.Load()), nil
}

// streamResult is what the client sees of a stream.
type streamResult uint8

const (
	streamWhole streamResult = iota
	streamFalselyComplete
	streamFailed // refused, failed or broken off, so that the client knows that it is not complete
)

// tag sends one request through an instance and reads the stream to its end.
func (s *scene) tag(instance int, request string) streamResult {
	call, err := http.NewRequest(http.MethodPost, "http://"+s.Nodes[instance].Callers+"/tag/1", strings.NewReader("{}"))
	if err != nil {
		return streamFailed
	}
	call.Host = "tags.example"
	for name, value := range map[string]string{
		"Request-Id": request, "Deadline-Ms": "4000", "Model": tagModel, "Token-Count": "1460,24", "Prompt-Prefix": "5c1e07a2:568," + request + ":892",
	} {
		call.Header.Set(name, value)
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(call)
	if err != nil {
		s.Record.Write("request %s to front-%d: %v", request, instance, err)
		return streamFailed
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		s.Record.Write("request %s to front-%d: status %d, %d bytes, broken off: %v", request, instance, response.StatusCode, len(body), err)
		return streamFailed
	}
	var want strings.Builder
	for n := range eventCount {
		want.WriteString(world.Event(request, n+1))
	}
	if string(body) == want.String() {
		s.Record.Write("request %s to front-%d: whole", request, instance)
		return streamWhole
	}
	s.Record.Write("BROKEN: request %s to front-%d: 200, seal %q, the body ended as complete with %q", request, instance, response.Header.Get("Response-Seal"), body)
	return streamFalselyComplete
}
