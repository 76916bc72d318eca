package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"savoryweir/review/lab"
)

const (
	uploadBytes   = 4 << 20
	uploaders     = 4
	answerBytes   = 8 << 10
	serverReceive = 16 << 10
	deskServers   = 3               // as on the site
	spoiledEvery  = 20              // x = 0.05
	spoiledFor    = 5 * time.Second // for_s
	calmBefore    = 3 * time.Second
	calmAfter     = 2 * time.Second
)

// deskServer answers uploads. While it is in trouble, some of its answers come early, have no length and are broken off.
type deskServer struct {
	lab *lab.Lab
	id  string

	mu        sync.Mutex // guards the fields below
	inTrouble bool
	runs      int               // since the trouble began
	answers   map[string][]byte // whole bodies by request
}

// run records a run, and returns the whole body of its answer and whether it is spoiled.
func (s *deskServer) run(id string) (body []byte, isSpoiled bool) {
	body = bytes.Repeat([]byte(id+"."), answerBytes/(len(id)+1))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = body
	if s.inTrouble {
		s.runs++
		isSpoiled = s.runs%spoiledEvery == 0
	}
	return body, isSpoiled
}

func (s *deskServer) setTrouble(inTrouble bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inTrouble, s.runs = inTrouble, 0
}

func (s *deskServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	tcp := conn.(*net.TCPConn)
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil || request.ContentLength <= 0 || request.Header.Get("Expect-Instance") != s.id {
		return
	}
	id := request.Header.Get("Request-Id")
	body, isSpoiled := s.run(id)
	if !isSpoiled {
		if _, err := io.CopyN(io.Discard, request.Body, request.ContentLength); err != nil {
			return
		}
		s.lab.Record("server %s runs %s", s.id, id)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", id, id, len(body))
		_, _ = conn.Write(body)
		return
	}
	s.lab.Record("server %s runs %s, answers before it has read the body, and breaks off after %d of %d bytes", s.id, id, len(body)/2, len(body))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n\r\n", id, id)
	_, _ = conn.Write(body[:len(body)/2])
	time.Sleep(20 * time.Millisecond)
	_ = tcp.SetLinger(0)
}

func startDeskServer(l *lab.Lab, id string) (*deskServer, error) {
	control := net.ListenConfig{Control: limitReceive}
	listener, err := control.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &deskServer{lab: l, id: id, answers: make(map[string][]byte)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, l.Register(id, map[string]any{
		"service": "desk", "address": listener.Addr().String(), "zone": "attica-a", "version": "1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "born": time.Now().UnixMilli(),
	})
}

// limitReceive bounds what the kernel takes of a body that the server doesn't read.
func limitReceive(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, serverReceive)
	})
}

func playEarlyReset(l *lab.Lab, trouble bool) (bool, error) {
	err := l.Configure(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "upload", "host": "desk.example", "pathPrefix": "/upload/", "kind": "unsafe", "service": "desk", "maxAttempts": 1,
			"timeoutMs": 4000, "targetLatencyMs": 300, "priority": 1,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 110}},
		"limits":   lab.Limits(uploadBytes),
	})
	if err != nil {
		return false, err
	}
	var servers []*deskServer
	for i := range deskServers {
		s, err := startDeskServer(l, fmt.Sprintf("i-desk%d", i))
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	node, err := l.StartNode("front-attica-a-1", "attica-a", l.Address)
	if err == nil {
		err = node.AwaitReady()
	}
	if err != nil {
		return false, err
	}
	var served, broken atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range uploaders {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("upload%d%08d", c, n)
				status, body, err := upload(node.Callers, id)
				l.Record("client gets for %s: status %s, %d bytes, error %v", id, status, len(body), err)
				if err != nil || status != "200" {
					continue
				}
				served.Add(1)
				if whole := wholeAnswer(servers, id); !bytes.Equal(body, whole) {
					broken.Add(1)
					l.Record("MIXED: %s is answered 200 with a complete body of %d bytes; the server's whole body has %d", id, len(body), len(whole))
				}
			}
		})
	}
	time.Sleep(calmBefore)
	servers[0].setTrouble(trouble)
	time.Sleep(spoiledFor)
	servers[0].setTrouble(false)
	time.Sleep(calmAfter)
	close(stop)
	clients.Wait()
	l.Record("%d requests were answered 200, %d of these with a part of the server's body", served.Load(), broken.Load())
	fmt.Printf("%d answered 200, %d of these cut\n", served.Load(), broken.Load())
	return broken.Load() > 0, nil
}

// wholeAnswer returns the body of the server that ran a request.
func wholeAnswer(servers []*deskServer, id string) []byte {
	for _, s := range servers {
		s.mu.Lock()
		body, ok := s.answers[id]
		s.mu.Unlock()
		if ok {
			return body
		}
	}
	return nil
}

// upload sends a request with a long body and reads the whole answer.
func upload(address, id string) (status string, body []byte, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/upload/"+id, bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return "", nil, err
	}
	request.Host = "desk.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "4000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return strconv.Itoa(response.StatusCode), body, err
}
