package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"savoryweir/internal/standin/upstream"
)

const (
	host = "desk.example"
	// callerDeadline is how long callers wait, and the timeout of all routes.
	callerDeadline = 3 * time.Second
	// answerSlack is how much later than the timeout the final answer may come.
	answerSlack = 500 * time.Millisecond
	// kept is the mean number of requests that a caller sends to one instance.
	kept     = 25
	thinking = 40 * time.Millisecond // mean pause of a caller between two requests
	// takeUps is how often a caller takes a stream up, each time after takeUpPause, unless less
	// than takeUpLeast is left.
	takeUps     = 2
	takeUpPause = 100 * time.Millisecond
	takeUpLeast = 200 * time.Millisecond
	// linkLossShare is the share of resumable streams whose caller loses its connection.
	linkLossShare = 0.2
)

// caller sends one request after the other on kept connections.
type caller struct {
	cluster *cluster
	random  *rand.Rand
	name    string
	at      *instance
	client  *http.Client
	number  int
}

func newCaller(c *cluster, number int) *caller {
	return &caller{cluster: c, random: rand.New(rand.NewPCG(c.options.Seed, uint64(100+number))), name: fmt.Sprintf("c%d", number)}
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(thinking))):
		}
		c.moveOn()
		if c.at != nil {
			c.send(c.draw())
		}
	}
}

// moveOn changes the instance from time to time. Else the caller goes on using its
// open connection, also when the instance has left the turn.
func (c *caller) moveOn() {
	if c.at != nil && c.random.IntN(kept) > 0 {
		return
	}
	c.connect(nobody)
}

// nobody is the number of no instance.
const nobody = -1

// connect chooses a ready instance other than the given one. It reports false if there is none.
func (c *caller) connect(other int) bool {
	c.leave()
	var ready []*instance
	for _, i := range c.cluster.instances {
		if i.takesCallers() && i.number != other {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return false
	}
	c.at = ready[c.random.IntN(len(ready))]
	c.client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}}
	return true
}

func (c *caller) leave() {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.at, c.client = nil, nil
}

// question is what a caller asks.
type question struct {
	method, path, body string
	service, model     string
	repeatable         bool
	events             int      // zero for plain services
	resumable          bool     // a stream that may be taken up
	own                uint64   // last part of the prompt
	shared             []string // parts of the prompt before the last
	crashing           bool     // the prompt holds the crashing part
}

func (c *caller) draw() question {
	c.number++
	id := fmt.Sprintf("%s-%d", c.name, c.number)
	switch point := c.random.Float64(); {
	case point < 0.25:
		return question{method: http.MethodPost, path: "/book/" + id, body: "order " + id, service: plainService}
	case point < 0.45:
		return question{method: http.MethodGet, path: "/status/" + id, service: plainService, repeatable: true}
	case point < 0.55:
		return question{method: http.MethodGet, path: fmt.Sprintf("/extra%d/%s", c.random.IntN(extraRoutes), id), service: plainService, repeatable: true}
	case point < 0.85:
		return question{method: http.MethodPost, path: "/tag/" + id, body: id, service: engineService, model: c.model(), repeatable: true, events: 2 + c.random.IntN(c.mostEvents()), resumable: true, own: uint64(c.number), shared: c.sharedParts(tagPart)}
	default:
		return question{method: http.MethodPost, path: "/notes/" + id, body: id, service: engineService, model: c.model(), events: 2 + c.random.IntN(30), own: uint64(c.number), shared: c.sharedParts(notesPart)}
	}
}

// mostEvents bounds the events of resumable streams. Long ones more often meet kills.
func (c *caller) mostEvents() int {
	switch {
	case c.cluster.options.Leavers:
		return leaverEvents
	case c.cluster.options.Versions:
		return 60
	}
	return 12
}

// model draws a model, few of them often, and now and then an adapter of it.
func (c *caller) model() string {
	m := min(c.random.IntN(models), c.random.IntN(models))
	if c.random.IntN(4) == 0 {
		return fmt.Sprintf("m%d/a%d", m, 1+c.random.IntN(adapters))
	}
	return fmt.Sprintf("m%d", m)
}

// send asks one question, and takes up a resumable stream that breaks off.
func (c *caller) send(q question) {
	first := &sent{deadline: callerDeadline}
	c.attempt(q, first)
	for last, n := first, 0; n < takeUps && last.isBroken(q); n++ {
		time.Sleep(takeUpPause)
		end := first.at.Add(callerDeadline - takeUpLeast)
		for !c.connect(last.instance) && time.Now().Before(end) {
			time.Sleep(pollEvery)
		}
		if c.at == nil || time.Now().After(end) {
			return
		}
		c.number++
		next := &sent{deadline: time.Until(first.at.Add(callerDeadline)), resumes: first.id, after: last.held, held: last.held}
		c.attempt(q, next)
		last = next
	}
}

// isBroken reports whether a stream broke off between its first and its last event.
func (s *sent) isBroken(q question) bool {
	return q.resumable && s.left.IsZero() && s.err != nil && !errors.Is(s.err, errNotWhole) && s.held > 0 && s.held < q.events
}

// attempt sends a request and judges the answer.
func (c *caller) attempt(q question, s *sent) {
	s.id, s.service, s.instance, s.repeatable = fmt.Sprintf("%s-%s-%d", c.name, "r", c.number), q.service, c.at.number, q.repeatable
	s.fingerprint, s.path, s.resumable, s.at = upstream.Fingerprint(q.method, q.path, []byte(q.body)), q.path, q.resumable, time.Now()
	s.crashing, s.isStream = q.crashing, q.events > 0
	if len(q.shared) > 0 {
		s.firstPart = q.shared[0]
	}
	c.cluster.ledger.Sent(s)
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline+2*answerSlack)
	defer cancel()
	s.work = plainWork
	if q.events > 0 {
		s.work = time.Duration(q.events-s.after) * eventWork
	}
	c.leaveLater(s, cancel)
	status, served, err := c.ask(ctx, q, s)
	c.cluster.ledger.Ended(s, status, served, err)
	if late := s.ended.Sub(s.at); late > s.deadline+answerSlack && s.left.IsZero() && c.cluster.disturbances.isCalm(s.instance, s.at, s.ended) {
		c.cluster.ledger.violate(PromiseInTime, s.at, "request %s (%s) at i%d took %v: %v", s.id, q.path, s.instance, late, err)
	}
	if err != nil {
		c.leave()
	}
}

// ask returns the status, whether the request was served, and the error of an answer
// that did not come whole.
func (c *caller) ask(ctx context.Context, q question, s *sent) (int, bool, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.at.callers.Address()+q.path, strings.NewReader(q.body))
	if err != nil {
		return 0, false, err
	}
	r.GetBody = nil // the client sends nothing twice by itself
	r.Host = host
	call := upstream.Call{Request: s.id, Deadline: s.deadline, Model: q.model, Events: q.events, Shared: q.shared, Own: q.own, Resumes: s.resumes, LastEvent: s.after}
	call.Stamp(r.Header)
	response, err := c.client.Do(r)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Close {
		defer c.leave()
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		c.cluster.ledger.violate(PromiseWhole, s.at, "request %s got the status %d", s.id, response.StatusCode)
	}
	isServed := response.StatusCode == http.StatusOK
	if isServed && !call.IsAnswered(response.Header) {
		c.cluster.ledger.violate(PromiseWhole, s.at, "request %s got an answer with the headers %v", s.id, response.Header)
	}
	if isServed && q.events > 0 {
		err = c.readStream(response.Body, q, s)
		return response.StatusCode, err == nil, err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && isServed && string(body) != upstream.Answer(s.id, s.fingerprint) {
		c.cluster.ledger.violate(PromiseWhole, s.at, "request %s got the body %.80q", s.id, body)
	}
	return response.StatusCode, isServed && err == nil, err
}

// maxStatus is the highest status that a response may have.
const maxStatus = 599

var (
	errNotWhole = errors.New("the stream is not what it has to be")
	errLinkLost = errors.New("the caller lost its connection")
)

// readStream checks that events come in order and that the end is the end.
func (c *caller) readStream(from io.Reader, q question, s *sent) error {
	reader := bufio.NewReader(from)
	lostAfter := 0
	if left := q.events - s.after; c.cluster.options.Versions && q.resumable && left > 1 && c.random.Float64() < linkLossShare {
		lostAfter = s.after + 1 + c.random.IntN(left-1)
	}
	for next := s.after + 1; ; next++ {
		want := upstream.Event(s.id, next)
		got := make([]byte, len(want))
		_, err := io.ReadFull(reader, got)
		switch {
		case err == io.EOF && next == q.events+1:
			return nil
		case err == io.EOF:
			c.cluster.ledger.violate(PromiseOrder, s.at, "request %s ended as complete after %d of %d events", s.id, next-1, q.events)
			return errNotWhole
		case err != nil:
			return err
		case string(got) != want:
			c.cluster.ledger.violate(PromiseOrder, s.at, "request %s got %q instead of event %d", s.id, got, next)
			return errNotWhole
		}
		if s.held = next; next == lostAfter {
			return errLinkLost
		}
	}
}

// poison asks again and again what crashes its upstream.
func (c *caller) poison(stop <-chan struct{}) {
	q := question{method: http.MethodGet, path: fmt.Sprintf("/status%s/%s", upstream.PoisonPath, c.name), service: plainService, repeatable: true}
	for range poisonTries {
		c.number++
		c.leave()
		c.moveOn()
		if c.at != nil {
			c.send(q)
		}
		select {
		case <-stop:
			return
		case <-time.After(poisonPause):
		}
	}
}

const (
	poisonTries = 16
	poisonPause = 400 * time.Millisecond
)
