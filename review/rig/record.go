package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run, with the seconds since its start.
type Record struct {
	mu    sync.Mutex
	begun time.Time
	f     *os.File
	w     *bufio.Writer
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{begun: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.begun) }

// Line writes a line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line, and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf("%9.4f %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.f.Close()
}
