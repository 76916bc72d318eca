package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was seen, each line with the time since the start.
type record struct {
	began time.Time

	mu   sync.Mutex // guards out
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// line writes a line to the record.
func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", arguments...)
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// since returns the seconds since the start.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }
