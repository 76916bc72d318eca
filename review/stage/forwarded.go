package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/internal/standin/operator"
)

const (
	rollbackSlack = 250 * time.Millisecond // of the deployment kalyvas-weir
	orderTime     = time.Second            // deadline and route timeout of an order
	moves         = 3                      // changes of the configuration
	movePause     = 1300 * time.Millisecond
	cutTime       = 5500 * time.Millisecond // for_s of node_cut on the site's list of troubles
	noticeTime    = 1200 * time.Millisecond // from the cut to the first change
)

// forwardedByOlderConfig partitions the machines of a zone from all engines, while the operator moves one route
// after the other to another service. Their requests go on to other machines, and these get to know a new version
// at different times.
func forwardedByOlderConfig(o options) error {
	st := startStore()
	defer st.server.Close()
	seen, asked := &runs{record: o.record}, &clients{record: o.record}
	var servers []*server
	for n, zone := range []string{"a", "b", "c"} {
		for _, service := range []string{"desk", "counter"} {
			s, err := startServer(st.Memory, fmt.Sprintf("i-%s-%d", service, n), service, zone, 10*time.Millisecond, seen)
			if err != nil {
				return err
			}
			servers = append(servers, s)
		}
	}
	moved := 0
	document := func() operator.Document {
		d := operator.Document{Plain: []string{"desk", "counter"}}
		for n := range moves {
			r := operator.Route{Prefix: fmt.Sprintf("/book%d/", n), Host: host, Kind: "unsafe", Service: "desk", Attempts: 2, Timeout: orderTime, Target: 100 * time.Millisecond}
			if n < moved {
				r.Service = "counter"
			}
			d.Routes = append(d.Routes, r)
		}
		return d
	}
	if _, err := st.configure(document()); err != nil {
		return err
	}
	var nodes []*node
	for _, id := range []string{"front-a-1", "front-a-2", "front-a-3", "front-a-4", "front-b-1", "front-b-2", "front-c-1", "front-c-2"} {
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
	time.Sleep(6 * time.Second) // all machines know each other
	stop := make(chan struct{})
	var busy atomic.Int64 // number of the route that most orders are for
	var traffic sync.WaitGroup
	for _, n := range nodes {
		for k := range 4 {
			traffic.Go(func() { sendOrders(asked, n, k, &busy, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if o.trouble {
		o.record.note("front-c-1 and front-c-2 are partitioned from all engines")
		for _, s := range servers {
			s.link.cutOff(nodes[6].pid(), nodes[7].pid())
		}
	}
	time.Sleep(noticeTime)
	for range moves {
		busy.Store(int64(moved))
		time.Sleep(movePause / 2)
		moved++
		at, err := st.configure(document())
		if err != nil {
			return err
		}
		o.record.note("the operator moves /book%d/ from desk to counter; acknowledged at %.3f", moved-1, o.record.since(at))
		time.Sleep(movePause / 2)
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if o.trouble {
		for _, s := range servers {
			s.link.cutOff()
		}
		o.record.note("all machines reach all engines again, %.1f s after the cut", time.Since(cutAt).Seconds())
	}
	time.Sleep(2 * time.Second)
	close(stop)
	traffic.Wait()
	for _, n := range nodes {
		if !n.runs() {
			return fmt.Errorf("%s has ended", n.id)
		}
	}
	return judgeRegress(o.record, asked.all(), seen.all())
}

// sendOrders sends orders, most of them on the busy route and the others on each route in turn.
func sendOrders(c *clients, n *node, first int, busy *atomic.Int64, stop <-chan struct{}) {
	with := newHTTPClient()
	defer with.CloseIdleConnections()
	for k := first; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
			route := k % moves
			if k/moves%4 > 0 {
				route = int(busy.Load())
			}
			c.send(with, n, fmt.Sprintf("/book%d/%d", route, k), orderTime)
		}
	}
}

// judgeRegress checks the rule: a machine must not handle a request as only an older version allows if the request
// was sent more than rollbackSlack after an engine saw the effect of a version that the machine applied.
func judgeRegress(r *record, requests []sent, ran []run) error {
	byID := make(map[string]run)
	for _, one := range ran {
		byID[one.request] = one
	}
	type key struct{ node, route string }
	routeOf := func(s sent) string { return s.path[:len("/book0")] }
	effect := make(map[key]time.Time)
	for _, s := range requests {
		one, ok := byID[s.id]
		if k := (key{s.node, routeOf(s)}); ok && one.service == "counter" && (effect[k].IsZero() || one.at.Before(effect[k])) {
			effect[k] = one.at
		}
	}
	regressed, answered := make(map[string]int), make(map[string]int)
	for _, s := range requests {
		if s.status == 200 {
			answered[s.node]++
		}
		one, ok := byID[s.id]
		at := effect[key{s.node, routeOf(s)}]
		if !ok || one.service != "desk" || at.IsZero() || s.at.Sub(at) <= rollbackSlack {
			continue
		}
		regressed[s.node]++
		r.note("%s: order %s on %s, sent at %.3f, was run by the old service desk (%s) at %.3f, though an engine of counter ran an order of this machine on that route at %.3f, %.0f ms before it was sent",
			s.node, s.id, routeOf(s), r.since(s.at), one.server, r.since(one.at), r.since(at), s.at.Sub(at).Seconds()*1000)
	}
	total := 0
	for _, s := range []string{"front-a-1", "front-a-2", "front-a-3", "front-a-4", "front-b-1", "front-b-2", "front-c-1", "front-c-2"} {
		r.note("%s: %d orders answered with 200, %d handled as only an older version allows", s, answered[s], regressed[s])
		total += regressed[s]
		if answered[s] == 0 {
			return fmt.Errorf("%s has served nothing", s)
		}
	}
	if total > 0 {
		return fmt.Errorf("%w: %d orders were run by the service of an older version", errBroken, total)
	}
	return nil
}
