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
	instances   = 3
	deskCount   = 3
	greyShare   = 0.4 // of the requests of the grey server, from srv_grey
	greyFrom    = 5 * time.Second
	greyFor     = 6500 * time.Millisecond
	playTime    = 16 * time.Second
	bookGap     = time.Second / 11 // 11 orders a second, as on the sheet
	bookTimeout = time.Second
)

// refusedThoughRun has one of three servers run orders and then answer some of them with its own 503, without
// Not-Executed. REFUSED: an unsafe request that has run is answered 503.
func refusedThoughRun(s *scene) (int, error) {
	runs := world.NewRuns()
	startedAt := time.Now()
	var failed atomic.Int64
	for i := range deskCount {
		id := fmt.Sprintf("i-desk%d", i)
		desk := &world.Desk{ID: id, Slots: 6, Work: 15 * time.Millisecond, OnRun: func(request, order string) {
			runs.Add(id, request, order)
			s.Record.Write("%s runs request %s, order %s", id, request, order)
		}}
		if s.trouble && i == 0 {
			var served atomic.Int64
			desk.Fails = func() (int, bool) {
				since := time.Since(startedAt)
				fails := since >= greyFrom && since < greyFrom+greyFor && float64(served.Add(1)%5) < 5*greyShare
				if fails {
					failed.Add(1)
				}
				return http.StatusServiceUnavailable, fails
			}
		}
		address, err := s.Serve(desk)
		if err != nil {
			return 0, err
		}
		if err := s.PutServer(id, world.Server{Service: "trafficking-desk", Address: address, Zone: fmt.Sprintf("zone-%d", i), Version: "1", Slots: 6, State: "ready", Born: time.Now().UnixMilli()}); err != nil {
			return 0, err
		}
	}
	err := s.PutConfig(1, "", world.Route{
		Name: "io-book", Host: "desk.example", PathPrefix: "/book/", Kind: "unsafe", Service: "trafficking-desk", MaxAttempts: 2, TimeoutMs: 1000, TargetMs: 100, Priority: 2,
	})
	if err != nil {
		return 0, err
	}
	if err := s.StartNodes(instances); err != nil {
		return 0, err
	}
	startedAt = time.Now()
	var broken, twice atomic.Int64
	var group sync.WaitGroup
	for n := 0; time.Since(startedAt) < playTime; n++ {
		group.Go(func() {
			order := fmt.Sprintf("order-%d", n)
			status, wasRefused := s.book(runs, n%instances, fmt.Sprintf("%016x", 2*n), order)
			if wasRefused {
				broken.Add(1)
			}
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests { // the client may ask again after a promise
				_, wasRefused = s.book(runs, (n+1)%instances, fmt.Sprintf("%016x", 2*n+1), order)
				if wasRefused {
					broken.Add(1)
				}
			}
			if requests := runs.OfOrder(order); len(requests) > 1 {
				twice.Add(1)
				s.Record.Write("%s was booked %d times, by the requests %s", order, len(requests), strings.Join(requests, " and "))
			}
		})
		time.Sleep(bookGap)
	}
	group.Wait()
	s.Record.Write("%d orders were answered with 503 after they had run, of %d that a server failed; %d were booked twice as the client tried again", broken.Load(), failed.Load(), twice.Load())
	return int(broken.Load()), nil
}

// book sends one order through an instance. It reports the status, 0 without an answer, and whether the answer
// promises that the order has not run although it has.
func (s *scene) book(runs *world.Runs, instance int, request, order string) (status int, wasRefused bool) {
	call, err := http.NewRequest(http.MethodPost, "http://"+s.Nodes[instance].Callers+"/book/1", strings.NewReader(order))
	if err != nil {
		return 0, false
	}
	call.Host = "desk.example"
	call.Header.Set("Request-Id", request)
	call.Header.Set("Deadline-Ms", "1000")
	client := http.Client{Timeout: 2 * bookTimeout}
	s.Record.Write("client sends request %s, %s, to front-%d", request, order, instance)
	response, err := client.Do(call)
	if err != nil {
		s.Record.Write("request %s: %v", request, err)
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	ran := runs.Of(request)
	s.Record.Write("request %s is answered %d, seal %q, %q; it was run by %v", request, response.StatusCode, response.Header.Get("Response-Seal"), strings.TrimSpace(string(body)), ran)
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if len(ran) > 0 {
			s.Record.Write("BROKEN: request %s was answered %d, which says that it has not run, and %s ran it", request, response.StatusCode, ran[0])
			return response.StatusCode, true
		}
	}
	return response.StatusCode, false
}
