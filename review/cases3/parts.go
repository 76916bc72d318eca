package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"savoryweir/internal/state/object"
	"savoryweir/platform"
	"savoryweir/review/lab"
)

const (
	crashingPart  = "c7d1"
	tagEngines    = 9
	tagEvents     = 8
	tagGap        = 100 * time.Millisecond
	tagDeadline   = 4 * time.Second
	tagsPerSecond = 30
	crashesPerS   = 2
	secondParts   = 57 // of prompts, as on the site
	plainCrashes  = 2  // of the engines, a share of 0.25 at most
	engineBack    = 4500 * time.Millisecond
	lapseTime     = 3600 * time.Millisecond // three heartbeats
	inTouchAfter  = 3 * time.Second         // stableMs
	calmTime      = 16 * time.Second
	crashLead     = 3 * time.Second // between the crash of an engine and the first request with the crashing part
	lateTime      = 24 * time.Second
	leastTags     = 20
)

// tagEngine is an engine that crashes as it begins to write an answer to a prompt with the crashing part.
type tagEngine struct {
	lab  *lab.Lab
	name string
	note func() // called at each crash under the crashing part

	mu     sync.Mutex // guards the fields below
	starts int
	id     string
	conns  map[net.Conn]bool
	server *http.Server
}

func (e *tagEngine) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	id := fmt.Sprintf("i-%s-%d", e.name, e.starts)
	e.id, e.conns = id, make(map[net.Conn]bool)
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.track}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	entry := map[string]any{
		"service": "tagger", "address": listener.Addr().String(), "zone": "attica-a", "version": "1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "born": time.Now().UnixMilli(), "seq": 1,
	}
	data, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return e.lab.Put(platform.KindUpstreams, object.Name(id), data)
}

func (e *tagEngine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed:
		delete(e.conns, c)
	case http.StateActive, http.StateIdle, http.StateHijacked:
	}
}

// crash ends the engine with all its connections, and starts it again under another id after some seconds.
func (e *tagEngine) crash(id, request string) {
	e.mu.Lock()
	if e.id != id {
		e.mu.Unlock()
		return
	}
	e.id = ""
	conns, server := maps.Clone(e.conns), e.server
	e.mu.Unlock()
	e.lab.Record("engine %s crashes under %s", id, request)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
	time.AfterFunc(lapseTime, func() {
		ctx := context.Background()
		if found, err := e.lab.Store.Get(ctx, platform.KindUpstreams, object.Name(id)); err == nil {
			_ = e.lab.Store.Delete(ctx, platform.KindUpstreams, object.Name(id), found.Version)
		}
	})
	time.AfterFunc(engineBack, func() { _ = e.start() })
}

// present returns the id of the present incarnation.
func (e *tagEngine) present() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *tagEngine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	self := e.id
	e.mu.Unlock()
	if self == "" || r.Header.Get("Expect-Instance") != self {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	if r.URL.Path == platform.ReportPath {
		_, _ = w.Write([]byte(`{"stage":"colocated","models":[],"busy":false,"seq":0}`))
		return
	}
	time.Sleep(20 * time.Millisecond)
	if strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart) {
		e.note()
		e.crash(self, id)
		return
	}
	e.answer(w, r, id)
}

// answer writes the stream without a length and without chunks: it ends with its connection.
func (e *tagEngine) answer(w http.ResponseWriter, r *http.Request, id string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer e.forget(conn)
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, id)
	for n := 1; n <= tagEvents; n++ {
		_, _ = fmt.Fprintf(buffered, "id: %d\ndata: tag\n\n", n)
		if buffered.Flush() != nil {
			return
		}
		time.Sleep(tagGap)
	}
}

func (e *tagEngine) forget(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// tag is a first try of a sound request.
type tag struct {
	at     time.Time
	begins bool
}

// sendTag sends one request and reports whether its answer begins, and how it ended.
func sendTag(address, id, prefix string) (begins bool, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), tagDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/tag/draft", strings.NewReader("brief "+id))
	if err != nil {
		return false, 0
	}
	request.Host = "tags.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(tagDeadline.Milliseconds(), 10))
	request.Header.Set("Prompt-Prefix", prefix)
	request.Header.Set("Token-Count", "1800,30")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return false, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, response.StatusCode
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		begins = true
	}
	return begins, response.StatusCode
}

func playParts(l *lab.Lab, trouble bool) (bool, error) {
	err := l.Configure(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "tags", "host": "tags.example", "pathPrefix": "/tag/", "kind": "stream", "service": "tagger", "maxAttempts": 2, "resumable": true,
			"timeoutMs": tagDeadline.Milliseconds(), "targetLatencyMs": 600, "gapAimMs": 300, "priority": 1,
		}},
		"services": []map[string]any{{"name": "tagger", "healthPath": "/health", "maxConns": 370}},
		"limits":   lab.Limits(65536),
	})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	var tags []tag
	var engines []*tagEngine
	for i := range tagEngines {
		e := &tagEngine{lab: l, name: fmt.Sprintf("tag%d", i), note: func() {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
		}}
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	var nodes []*lab.Node
	for _, zone := range []string{"attica-a", "attica-b", "attica-c"} {
		node, err := l.StartNode("front-"+zone+"-1", zone, l.Address)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, node)
	}
	for _, n := range nodes {
		if err := n.AwaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(inTouchAfter)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	every := func(gap time.Duration, f func(number int)) {
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ticker.C:
				clients.Go(func() { f(number) })
			case <-stop:
				return
			}
		}
	}
	clients.Go(func() {
		every(time.Second/tagsPerSecond, func(number int) {
			id, sentAt := fmt.Sprintf("tag%05d", number), time.Now()
			begins, status := sendTag(nodes[rand.IntN(len(nodes))].Callers, id, fmt.Sprintf("a1:341,b%02d:227,%x:1232", rand.IntN(secondParts), 1<<20+number))
			l.Record("sound request %s: status %d, begins %v", id, status, begins)
			mu.Lock()
			defer mu.Unlock()
			tags = append(tags, tag{sentAt, begins})
		})
	})
	time.Sleep(calmTime)
	calmEnd := time.Now()
	if trouble {
		for _, e := range engines[:plainCrashes] {
			e.crash(e.present(), "no request in particular")
		}
		time.Sleep(crashLead)
		l.Record("requests with the crashing part come")
		clients.Go(func() {
			every(time.Second/crashesPerS, func(number int) {
				id := fmt.Sprintf("bad%05d", number)
				_, status := sendTag(nodes[rand.IntN(len(nodes))].Callers, id, fmt.Sprintf("a1:341,%s:200,%x:1232", crashingPart, 1<<24+number))
				l.Record("request with the crashing part %s: status %d", id, status)
			})
		})
	}
	time.Sleep(lateTime)
	close(stop)
	clients.Wait()
	recordBlocked(l, nodes)
	mu.Lock()
	defer mu.Unlock()
	return judgeTags(l, tags, crashes, calmEnd)
}

// recordBlocked records what the machines logged of what they block.
func recordBlocked(l *lab.Lab, nodes []*lab.Node) {
	for _, n := range nodes {
		for line := range strings.SplitSeq(n.Log(), "\n") {
			if strings.Contains(line, `"request.block`) || strings.Contains(line, `"request.released"`) {
				l.Record("log of %s: %s", n.Name, line)
			}
		}
	}
}

// judgeTags compares the sound requests from 2 x stableMs after the fifth crash on, at machines in touch, with those before any.
func judgeTags(l *lab.Lab, tags []tag, crashes []time.Time, calmEnd time.Time) (bool, error) {
	from := calmEnd
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * inTouchAfter)
	}
	var usual, usualBegan, late, lateBegan int
	for _, t := range tags {
		switch {
		case t.at.Before(calmEnd.Add(-tagDeadline)):
			usual++
			if t.begins {
				usualBegan++
			}
		case t.at.After(from):
			late++
			if t.begins {
				lateBegan++
			}
		}
	}
	l.Record("%d crashes under the part; before them %d of %d sound requests began, late %d of %d", len(crashes), usualBegan, usual, lateBegan, late)
	fmt.Printf("%d crashes under the part; before them %d of %d sound requests began, late %d of %d\n", len(crashes), usualBegan, usual, lateBegan, late)
	if usual < leastTags || late < leastTags {
		return false, errors.New("too few sound requests to judge")
	}
	return float64(lateBegan)/float64(late) < float64(usualBegan)/float64(usual)/2, nil
}
