package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. Each line begins with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// event writes one line.
func (r *record) event(format string, args ...any) { r.eventAt(time.Now(), format, args...) }

func (r *record) eventAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, args...)...)
}

// say writes one line and prints it.
func (r *record) say(format string, args ...any) {
	r.event(format, args...)
	fmt.Printf(format+"\n", args...)
}
