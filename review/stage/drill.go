package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/operator"
)

// objectStore is a store that may be away for a moment: it then breaks off all calls.
type objectStore struct {
	*store
	mu   sync.Mutex // guards the fields below
	away chan struct{}
	back bool
}

func startObjectStore() *objectStore {
	s := &objectStore{store: &store{Memory: objectapi.New(time.Now, objectapi.Limits{})}, away: make(chan struct{}), back: true}
	inner := objectapi.Handler(s.Memory)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, back := s.away, s.back
		s.mu.Unlock()
		if !back {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-away:
				cancel()
			case <-ctx.Done():
			}
		}()
		inner.ServeHTTP(w, r.WithContext(ctx))
	}))
	return s
}

func (s *objectStore) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.back
}

// goAway breaks off all calls until comeBack.
func (s *objectStore) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = false
	close(s.away)
	s.server.CloseClientConnections()
}

// comeBack serves again, from a copy.
func (s *objectStore) comeBack(copied objectapi.Backup) {
	s.Restore(copied)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.back = make(chan struct{}), true
}

const (
	pieces     = 57 // events of a stream of traffic-notes
	piecePace  = 100 * time.Millisecond
	streamTime = 15 * time.Second // deadline and timeout
	readers    = 24
	tries      = 5 // of a client for one stream
	usualPause = 200 * time.Millisecond
)

// reader is a client that reads one stream, and takes it up again when it breaks off.
type reader struct {
	record  *record
	name    int
	last    string // ID of the last event
	request string // that brought the first event
	origins []string
	tries   []string // what came of each try
	isWhole bool
	pause   time.Duration // before the next try
}

// read sends one try and reads its events.
func (r *reader) read(n *node, id string, until time.Time) {
	r.pause = usualPause
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/notes/draft", bytes.NewReader([]byte("brief")))
	if err != nil {
		return
	}
	q.Host, q.Close = host, true
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(time.Until(until).Milliseconds()))
	q.Header.Set("Model", model)
	q.Header.Set("Token-Count", fmt.Sprintf("1460,%d", pieces))
	q.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:350,%x:1110", 0x1000+r.name))
	if r.last != "" {
		q.Header.Set("Last-Event-Id", r.last)
		q.Header.Set("Resumes", r.request)
	}
	answer, err := newHTTPClient().Do(q)
	if err != nil {
		r.tries = append(r.tries, "no answer")
		r.record.line("reader %d: %s to %s: no answer: %v", r.name, id, n.id, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	r.tries = append(r.tries, fmt.Sprint(answer.StatusCode))
	r.record.line("reader %d: %s to %s after event %q: %d", r.name, id, n.id, r.last, answer.StatusCode)
	if answer.StatusCode != http.StatusOK {
		if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
			r.pause = time.Duration(seconds * float64(time.Second))
		}
		return
	}
	lines, event := bufio.NewScanner(answer.Body), ""
	for lines.Scan() {
		text := lines.Text()
		if after, ok := strings.CutPrefix(text, "id: "); ok {
			event = after
		}
		if after, ok := strings.CutPrefix(text, "data: "); ok {
			version, _, _ := strings.Cut(after, " ")
			if r.request == "" {
				r.request = id
			}
			if !slices.Contains(r.origins, version) {
				r.origins = append(r.origins, version)
				r.record.line("reader %d: event %s of %s comes from software %s", r.name, event, id, version)
			}
			r.last = event
		}
	}
	if r.isWhole = r.last == fmt.Sprint(pieces); !r.isWhole {
		r.record.line("reader %d: %s broke off after event %s", r.name, id, r.last)
	}
}

// joinedAfterDrill has engines of two software versions serve. The store goes away for a moment and comes back from a
// copy that is some seconds old, in which the newer version is missing; meanwhile all machines are killed.
func joinedAfterDrill(o options) error {
	st := startObjectStore()
	defer st.server.Close()
	route := operator.Route{Prefix: "/notes/", Host: host, Kind: "stream", Service: engineClass, Resumable: true, Attempts: 3, Timeout: streamTime, Target: 500 * time.Millisecond, Gap: 300 * time.Millisecond}
	class := operator.Engines{Service: engineClass, WeightsMB: 230000, AdapterSlots: 8, LoadsPerS: 1, Models: []operator.Model{{Name: model, WeightsMB: 70000, Load: 4 * time.Second, FromDisk: 2 * time.Second}}}
	if _, err := st.configure(operator.Document{Routes: []operator.Route{route}, Engines: []operator.Engines{class}}); err != nil {
		return err
	}
	zones := []string{"a", "b", "c"}
	for n, zone := range zones {
		if _, err := startEngine(o, st, fmt.Sprintf("i-old-%d", n), zone, "v1", piecePace); err != nil {
			return err
		}
	}
	var nodes []*node
	for _, id := range []string{"front-a-1", "front-b-1", "front-c-1", "front-c-2"} {
		n, err := newNode(o, id, id[6:7], st.address(), "")
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	defer killNodes(nodes)
	if err := startNodes(nodes); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	copied := st.Backup()
	o.record.note("the copy of the store is made")
	var newest time.Time
	for n, zone := range zones {
		e, err := startEngine(o, st, fmt.Sprintf("i-new-%d", n), zone, "v2", piecePace)
		if err != nil {
			return err
		}
		newest = e.born
	}
	o.record.note("engines of software v2 have joined those of v1")
	time.Sleep(time.Second)
	began := time.Now()
	var next atomic.Int64
	var all sync.WaitGroup
	list := make([]*reader, readers)
	for k := range list {
		list[k] = &reader{record: o.record, name: k}
		all.Go(func() { follow(list[k], nodes, k, &next, began.Add(streamTime)) })
	}
	// The store comes back 100 ms after a heartbeat of the new engines, which write their entries again at the next.
	beat := newest.Add(3 * heartbeat)
	if o.trouble {
		time.Sleep(time.Until(beat.Add(-400 * time.Millisecond)))
		o.record.note("the store goes away")
		st.goAway()
		if os.Getenv("KILL") != "0" { // to see what the store's return alone does
			killNodes(nodes)
			o.record.note("all machines are killed")
			time.Sleep(300 * time.Millisecond)
			for _, n := range nodes {
				if err := n.start(); err != nil {
					return err
				}
			}
			o.record.note("all machines are started again")
		}
		time.Sleep(time.Until(beat.Add(100 * time.Millisecond)))
		st.comeBack(copied)
		o.record.note("the store is back, from a copy that is %.1f s old", time.Since(newest).Seconds())
	}
	all.Wait()
	return judgeJoined(o.record, list)
}

// follow reads a stream until it is whole, with some tries after it has broken off, each at the next machine. It
// comes back when it is told to.
func follow(r *reader, nodes []*node, first int, next *atomic.Int64, until time.Time) {
	for try := 0; try < tries && !r.isWhole && time.Until(until) > 0; try++ {
		r.read(nodes[(first+try)%len(nodes)], fmt.Sprintf("%016x", 0xa000+next.Add(1)), until)
		if !r.isWhole {
			time.Sleep(r.pause)
		}
	}
}

// judgeJoined checks the rule: not more than two streams hold events of engines of two software versions.
func judgeJoined(r *record, list []*reader) error {
	joined, whole := 0, 0
	for _, one := range list {
		if one.isWhole {
			whole++
		}
		if len(one.origins) > 1 {
			joined++
			r.note("reader %d holds events of %s in one stream; its tries: %s", one.name, strings.Join(one.origins, " and "), strings.Join(one.tries, ", "))
		}
	}
	r.note("%d streams, %d whole, %d hold events of two software versions", len(list), whole, joined)
	if joined > 2 {
		return fmt.Errorf("%w: %d streams hold events of engines of two software versions", errBroken, joined)
	}
	return nil
}
