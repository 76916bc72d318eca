package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// link is a proxy before one engine. It can cut processes off: new connections of theirs are reset, and so are open
// ones.
type link struct {
	target   string
	listener net.Listener

	mu    sync.Mutex // guards the fields below
	cut   []int      // process IDs
	conns map[*net.TCPConn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listener: l, conns: make(map[*net.TCPConn]bool)}
	go k.accept()
	return k, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// cutOff cuts processes off; none ends the cut.
func (l *link) cutOff(pids ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = pids
	for c := range l.conns {
		if l.isCut(c) {
			reset(c)
		}
	}
}

// isCut reports whether one of the processes that are cut off has the other end of a connection. The caller holds l.mu.
func (l *link) isCut(c *net.TCPConn) bool {
	if len(l.cut) == 0 {
		return false
	}
	inode, ok := inodeOf(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	if !ok {
		return false
	}
	return slices.ContainsFunc(l.cut, func(pid int) bool { return holds(pid, inode) })
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *link) serve(c *net.TCPConn) {
	l.mu.Lock()
	isCut := l.isCut(c)
	if !isCut {
		l.conns[c] = true
	}
	l.mu.Unlock()
	if isCut {
		reset(c)
		return
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}()
	up, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(up, c)
		_ = up.(*net.TCPConn).CloseWrite()
		close(done)
	}()
	_, _ = io.Copy(c, up)
	_ = c.CloseWrite()
	<-done
	_ = c.Close()
	_ = up.Close()
}

// inodeOf returns the inode of the socket with the given ports on the loopback interface.
func inodeOf(local, remote int) (string, bool) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = f.Close() }()
	ends := fmt.Sprintf("0100007F:%04X 0100007F:%04X", local, remote)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1]+" "+fields[2] == ends {
			return fields[9], true
		}
	}
	return "", false
}

// holds reports whether a process has a socket.
func holds(pid int, inode string) bool {
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
