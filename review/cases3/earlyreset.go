package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"savoryweir/review/lab"
)

const (
	uploadBytes   = 4 << 20
	uploads       = 60
	answerBytes   = 8 << 10
	serverReceive = 16 << 10
)

// earlyServer answers uploads before it has read them, without a length: the answer ends with its connection.
type earlyServer struct {
	lab     *lab.Lab
	id      string
	trouble bool

	mu      sync.Mutex
	answers map[string][]byte // whole bodies by request
}

func (s *earlyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(serverReceive)
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if request.ContentLength == 0 {
		return
	}
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != s.id {
		return
	}
	body := bytes.Repeat([]byte(id+"."), answerBytes/(len(id)+1))
	s.mu.Lock()
	s.answers[id] = body
	s.mu.Unlock()
	s.lab.Record("server runs %s and answers before it has read the body", id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n\r\n", id, id)
	_, _ = conn.Write(body[:len(body)/2])
	time.Sleep(20 * time.Millisecond)
	if s.trouble {
		s.lab.Record("the connection of %s is reset after %d of %d bytes of the answer", id, len(body)/2, len(body))
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = conn.Write(body[len(body)/2:])
	_, _ = io.Copy(io.Discard, io.LimitReader(reader, request.ContentLength))
}

func playEarlyReset(l *lab.Lab, trouble bool) (bool, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer func() { _ = listener.Close() }()
	server := &earlyServer{lab: l, id: "i-early1", trouble: trouble, answers: make(map[string][]byte)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	config := map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "upload", "host": "desk.example", "pathPrefix": "/upload/", "kind": "unsafe", "service": "desk", "maxAttempts": 1,
			"timeoutMs": 4000, "targetLatencyMs": 300, "priority": 1,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 110}},
		"limits":   lab.Limits(uploadBytes),
	}
	err = errors.Join(l.Configure(config), l.Register(server.id, map[string]any{
		"service": "desk", "address": listener.Addr().String(), "zone": "attica-a", "version": "1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "born": time.Now().UnixMilli(),
	}))
	if err != nil {
		return false, err
	}
	node, err := l.StartNode("front-attica-a-1", "attica-a", l.Address)
	if err == nil {
		err = node.AwaitReady()
	}
	if err != nil {
		return false, err
	}
	served, broken := 0, 0
	for n := range uploads {
		id := fmt.Sprintf("upload%010d", n)
		status, body, err := upload(node.Callers, id)
		l.Record("client gets for %s: status %s, %d bytes, error %v", id, status, len(body), err)
		server.mu.Lock()
		whole := server.answers[id]
		server.mu.Unlock()
		if err != nil || status != "200" {
			continue
		}
		if served++; !bytes.Equal(body, whole) {
			broken++
			l.Record("MIXED: %s is answered 200 with a complete body of %d bytes; the server's whole body has %d", id, len(body), len(whole))
		}
	}
	l.Record("%d of %d requests were answered 200, %d of these with a part of the server's body", served, uploads, broken)
	fmt.Fprintf(os.Stdout, "%d of %d answered 200, %d of these cut\n", served, uploads, broken)
	return broken > 0, nil
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
