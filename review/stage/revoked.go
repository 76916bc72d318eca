package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/standin/operator"
	"savoryweir/platform"
)

const (
	revokeBound = 5 * time.Second // revokeMs of the deployment
	// revokeBounds are what the deployment's bounds add for keys.
	revokeBounds = "revoke = 5000ms\n"
	lookupPath   = "/lookup/pitch"
	lookupPace   = 100 * time.Millisecond
	copyLead     = 200 * time.Millisecond // time by which the copy of the store is older than the removal of the key
	awayAfter    = 4 * time.Second        // time from the removal of the key until the store goes away
	awayTime     = 500 * time.Millisecond
	rewriteDelay = time.Second // time from the store's return until the operator has written again
)

// keyTransport sends requests with an API key.
type keyTransport struct {
	key  string
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return t.base.RoundTrip(r)
}

// newKeyClient returns a client that has a key.
func newKeyClient(key string) *http.Client {
	c := newHTTPClient()
	c.Transport = keyTransport{key: key, base: c.Transport}
	return c
}

// configureKeys writes the next version of a configuration with the keys of one customer.
func (s *objectStore) configureKeys(d operator.Document, keys ...string) (time.Time, error) {
	if _, err := s.Get(context.Background(), platform.KindConfig, platform.NameConfig); err == nil {
		s.version += 3
	}
	return s.writeKeys(d, keys...)
}

// writeKeys writes the present version of a configuration.
func (s *objectStore) writeKeys(d operator.Document, keys ...string) (time.Time, error) {
	d.Version, d.IdleTimeout = s.version, 10*time.Second
	data, err := d.Encode()
	if err != nil {
		return time.Time{}, err
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(data, &fields); err != nil {
		return time.Time{}, err
	}
	fields["tenants"] = []map[string]any{{"name": "camps", "apiKeys": keys}}
	if data, err = json.Marshal(fields); err != nil {
		return time.Time{}, err
	}
	ctx := context.Background()
	if old, errGet := s.Get(ctx, platform.KindConfig, platform.NameConfig); errGet == nil {
		_, err = s.Update(ctx, platform.KindConfig, old.Name, data, old.Version)
	} else {
		_, err = s.Create(ctx, platform.KindConfig, platform.NameConfig, data)
	}
	return time.Now(), err
}

// stop sends SIGTERM and waits for the end of the process.
func (n *node) stop() {
	n.mu.Lock()
	c, ended := n.command, n.ended
	n.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGTERM)
	<-ended
}

// revokedAfterDrill takes a key away. Later the store goes away for a moment and comes back from a copy that still has
// the key, until the operator writes again. One machine is stopped and started meanwhile.
func revokedAfterDrill(o options) error {
	st := startObjectStore()
	defer st.server.Close()
	st.version = 4
	document := operator.Document{Plain: []string{"leirbok"}, Routes: []operator.Route{
		{Prefix: "/lookup/", Host: host, Kind: "safe", Service: "leirbok", Attempts: 2, Timeout: 3 * time.Second, Target: 300 * time.Millisecond},
	}}
	if _, err := st.configureKeys(document, "key-left", "key-removed"); err != nil {
		return err
	}
	seen := &runs{record: o.record}
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := startServer(st.Memory, "i-leirbok-"+zone, "leirbok", zone, 20*time.Millisecond, seen); err != nil {
			return err
		}
	}
	var nodes []*node
	for _, id := range []string{"front-a-1", "front-b-1", "front-c-1", "front-c-2"} {
		n, err := newNode(o, id, id[6:7], st.address(), revokeBounds)
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	defer killNodes(nodes)
	if err := startNodes(nodes); err != nil {
		return err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	left, removed := &clients{record: o.record}, &clients{record: o.record}
	left.next.Store(0x100000)
	removed.next.Store(0x200000)
	for _, n := range nodes {
		all.Go(func() { lookUp(left, "key-left", n, stop) })
		all.Go(func() { lookUp(removed, "key-removed", n, stop) })
	}
	time.Sleep(8 * time.Second)
	copied := st.Backup()
	o.record.note("the copy of the store is made")
	time.Sleep(copyLead)
	removedAt, err := st.configureKeys(document, "key-left")
	if err != nil {
		return err
	}
	o.record.note("the configuration without key-removed is acknowledged")
	if err := restartAndDrill(o, st, nodes[len(nodes)-1], document, copied, removedAt); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	close(stop)
	all.Wait()
	return judgeRevoked(o.record, left, removed, seen, removedAt)
}

// restartAndDrill stops and starts one machine while the store goes away and comes back from a copy.
func restartAndDrill(o options, st *objectStore, n *node, document operator.Document, copied objectapi.Backup, removedAt time.Time) error {
	restart := func() error {
		if os.Getenv("RESTART") == "0" { // to see what the store's return alone does
			return nil
		}
		n.stop()
		o.record.note("%s has ended after SIGTERM", n.id)
		if time.Since(removedAt) > awayAfter+awayTime {
			return errors.New("the machine did not end in time")
		}
		time.Sleep(time.Until(removedAt.Add(awayAfter + awayTime)))
		o.record.note("%s is started again", n.id)
		return n.start()
	}
	result := make(chan error, 1)
	go func() { result <- restart() }()
	if o.trouble {
		time.Sleep(time.Until(removedAt.Add(awayAfter)))
		o.record.note("the store goes away")
		st.goAway()
		time.Sleep(awayTime)
		st.comeBack(copied)
		back := time.Now()
		o.record.note("the store is back, from a copy that is %.1f s old", back.Sub(removedAt.Add(-copyLead)).Seconds())
		time.Sleep(time.Until(back.Add(rewriteDelay)))
		if _, err := st.writeKeys(document, "key-left"); err != nil {
			return err
		}
		o.record.note("the operator has written the configuration again, %.2f s after the store's return", time.Since(back).Seconds())
	}
	return <-result
}

// lookUp sends requests with a key to an instance, as a client with kept connections does.
func lookUp(c *clients, key string, n *node, stop <-chan struct{}) {
	with := newKeyClient(key)
	for {
		select {
		case <-stop:
			return
		case <-time.After(lookupPace):
			c.send(with, n, lookupPath, 3*time.Second)
		}
	}
}

// judgeRevoked checks the rule: no request runs that was sent later than the bound after the removal of its key.
func judgeRevoked(r *record, left, removed *clients, seen *runs, removedAt time.Time) error {
	ran := make(map[string]time.Time)
	for _, one := range seen.all() {
		ran[one.request] = one.at
	}
	served := 0
	for _, s := range left.all() {
		if s.status == http.StatusOK {
			served++
		}
	}
	sentLate, broken := 0, 0
	for _, s := range removed.all() {
		late := s.at.Sub(removedAt) - revokeBound
		if late <= 0 {
			continue
		}
		sentLate++
		if at, ok := ran[s.id]; ok {
			broken++
			r.note("%s with key-removed, sent to %s %.2f s after the removal, ran %.2f s after it; answered %d", s.id, s.node, s.at.Sub(removedAt).Seconds(), at.Sub(removedAt).Seconds(), s.status)
		}
	}
	r.note("%d requests with key-left, %d served; %d requests with key-removed were sent later than the bound, %d of them ran", len(left.all()), served, sentLate, broken)
	if served < len(left.all())/2 {
		return fmt.Errorf("only %d of %d requests with a key that holds were served", served, len(left.all()))
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d requests ran that were sent more than %v after the removal of their key", errBroken, broken, revokeBound)
	}
	return nil
}
