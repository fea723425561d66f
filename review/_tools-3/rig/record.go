package rig

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// Now returns the time since the record began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Add writes one line.
func (r *Record) Add(kind string, fields ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f %s %s\n", time.Since(r.began).Seconds(), kind, strings.Join(fields, " "))
}

// Result writes a line to the record and to the standard output.
func (r *Record) Result(text string) {
	r.Add("result", text)
	fmt.Println(text)
}

// Close writes the rest.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
