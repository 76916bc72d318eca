package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
	"savoryweir/review/lab"
)

const (
	noteEvents   = 57
	noteGap      = 120 * time.Millisecond
	noteDeadline = 15 * time.Second
	notes        = 90
	oldEngines   = 9
	noteRetries  = 4
	noteBackoff  = time.Second
	drainTime    = 2 * time.Second
	storeAway    = 500 * time.Millisecond
	restartAfter = 300 * time.Millisecond
)

// noteEngine is an engine of one software version that writes streams. Its events tell the version.
type noteEngine struct {
	lab     *lab.Lab
	id      string
	version string
	address string
	server  *http.Server

	mu    sync.Mutex // guards the fields below
	state string
	gone  bool
}

func startNoteEngine(l *lab.Lab, id, version string) (*noteEngine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &noteEngine{lab: l, id: id, version: version, address: listener.Addr().String(), state: "ready"}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	if err := e.write(); err != nil {
		return nil, err
	}
	go e.beat()
	return e, nil
}

// write writes the entry of the engine.
func (e *noteEngine) write() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return nil
	}
	data, err := json.Marshal(map[string]any{
		"service": "tagger", "address": e.address, "zone": "attica-a", "version": e.version, "slots": 64, "state": e.state, "coldRemainingMs": 0,
		"born": 1796000000000, "seq": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	return e.lab.Put(platform.KindUpstreams, object.Name(e.id), data)
}

func (e *noteEngine) beat() {
	for {
		time.Sleep(1200 * time.Millisecond)
		e.mu.Lock()
		gone := e.gone
		e.mu.Unlock()
		if gone {
			return
		}
		_ = e.write() // fails while the store is away
	}
}

// drain reports that the engine is leaving.
func (e *noteEngine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	_ = e.write()
	e.lab.Record("engine %s of software %s reports draining", e.id, e.version)
}

// exit ends the engine and removes its entry.
func (e *noteEngine) exit() error {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	ctx := context.Background()
	found, err := e.lab.Store.Get(ctx, platform.KindUpstreams, object.Name(e.id))
	if err == nil {
		err = e.lab.Store.Delete(ctx, platform.KindUpstreams, object.Name(e.id), found.Version)
	}
	e.lab.Record("engine %s of software %s has left", e.id, e.version)
	return errors.Join(err, e.server.Close())
}

func (e *noteEngine) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	isLeaving := e.state == "draining"
	e.mu.Unlock()
	e.lab.Record("engine %s (%s) runs %s from event %d", e.id, e.version, id, first)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	if isLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	for n := first; n <= noteEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(noteGap):
		case <-r.Context().Done():
			return
		}
	}
}

// note is one stream as its client sees it, over all its tries.
type note struct {
	versions   []string // of the events, in their order
	lastID     int
	firstTry   string // ID of the try that brought the first event
	isComplete bool
}

// try sends the request once and reads the events. It returns the time after which the client may come again.
func (n *note) try(address, id string, left time.Duration) (status int, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/notes/draft", strings.NewReader("brief "+id))
	if err != nil {
		return 0, 0, err
	}
	request.Host = "notes.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if n.lastID > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(n.lastID))
		request.Header.Set("Resumes", n.firstTry)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, retryAfter, nil
	}
	lines := bufio.NewScanner(response.Body)
	eventID := 0
	for lines.Scan() {
		switch name, value, _ := strings.Cut(lines.Text(), ": "); name {
		case "id":
			eventID, _ = strconv.Atoi(value)
		case "data":
			if n.firstTry == "" {
				n.firstTry = id
			}
			n.versions, n.lastID = append(n.versions, value), eventID
		}
	}
	n.isComplete = lines.Err() == nil
	return response.StatusCode, 0, lines.Err()
}

// run plays the client of a stream: it takes the stream up at the next machine when it has broken off.
func (n *note) run(l *lab.Lab, nodes []*lab.Node, number int) {
	end := time.Now().Add(noteDeadline)
	for attempt := 0; attempt <= noteRetries && time.Now().Before(end); attempt++ {
		node := nodes[(number+attempt)%len(nodes)]
		id := fmt.Sprintf("note%04d-%d", number, attempt)
		had := n.lastID
		status, wait, err := n.try(node.Callers, id, time.Until(end))
		l.Record("client %d, try %s at %s: status %d, events %d to %d, error %v", number, id, node.Name, status, had+1, n.lastID, err)
		if n.isComplete {
			return
		}
		wait = max(wait, noteBackoff<<attempt/2)
		time.Sleep(min(wait, time.Until(end)/3)) // as clients honour Retry-After
	}
}

// isMixed reports whether events of two versions are in the stream.
func (n *note) isMixed() bool {
	for _, v := range n.versions {
		if v != n.versions[0] {
			return true
		}
	}
	return false
}

func playCanary(l *lab.Lab, trouble bool) (bool, error) {
	l.Store.Restore(l.Store.Backup()) // all answers tell an era from the start
	err := l.Configure(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "notes", "host": "notes.example", "pathPrefix": "/notes/", "kind": "stream", "service": "tagger", "maxAttempts": 2, "resumable": true,
			"timeoutMs": noteDeadline.Milliseconds(), "targetLatencyMs": 500, "gapAimMs": 300, "priority": 0,
		}},
		"services": []map[string]any{{"name": "tagger", "healthPath": "/health", "maxConns": 370}},
		"limits":   lab.Limits(65536),
	})
	if err != nil {
		return false, err
	}
	for i := range oldEngines {
		if _, err := startNoteEngine(l, fmt.Sprintf("i-old%d", i), "1"); err != nil {
			return false, err
		}
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
	time.Sleep(8 * time.Second) // a lease is held, and the instances have been in touch for long
	copied := l.Store.Backup()
	l.Record("the copy of the store is made")
	canary, err := startNoteEngine(l, "i-new", "2")
	if err != nil {
		return false, err
	}
	l.Record("an engine of software 2 joins")
	time.Sleep(800 * time.Millisecond)
	streams := make([]*note, notes)
	var clients sync.WaitGroup
	for i := range streams {
		streams[i] = &note{}
		clients.Go(func() { streams[i].run(l, nodes, i) })
	}
	time.Sleep(400 * time.Millisecond)
	canary.drain()
	time.Sleep(drainTime + 300*time.Millisecond)
	if err := canary.exit(); err != nil {
		return false, err
	}
	if trouble {
		if err := drill(l, nodes, copied); err != nil {
			return false, err
		}
	}
	clients.Wait()
	return judgeNotes(l, streams), nil
}

// drill has the store go away for a moment and come back from a copy. As it goes, all machines are killed, and started again.
func drill(l *lab.Lab, nodes []*lab.Node, copied objectapi.Backup) error {
	l.Store.SetFaults(objectapi.Faults{Outage: true})
	for _, n := range nodes {
		n.Kill()
	}
	l.Record("the store is away; all machines are killed")
	time.Sleep(restartAfter)
	for _, n := range nodes {
		if err := n.Restart(); err != nil {
			return err
		}
	}
	l.Record("all machines are started again")
	time.Sleep(storeAway - restartAfter)
	l.Store.Restore(copied)
	l.Store.SetFaults(objectapi.Faults{})
	l.Record("the store is back from the copy, Store-Era %d", l.Store.Era())
	return nil
}

func judgeNotes(l *lab.Lab, streams []*note) bool {
	mixed, complete := 0, 0
	for i, n := range streams {
		if n.isComplete {
			complete++
		}
		if n.isMixed() {
			mixed++
			l.Record("ORDER: stream %d holds events of versions %s, complete: %v", i, strings.Join(n.versions, ""), n.isComplete)
		}
	}
	l.Record("%d of %d streams were complete, %d hold events of two versions", complete, len(streams), mixed)
	fmt.Printf("%d of %d streams complete, %d of two versions\n", complete, len(streams), mixed)
	return mixed > 2
}
