package rig3

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what happens in a case, a line each, with the milliseconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Line writes a line about one of the parties.
func (rec *Record) Line(who, text string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.out, "%8.1f %s: %s\n", float64(time.Since(rec.start).Microseconds())/1000, who, text)
}

// Close writes out the record.
func (rec *Record) Close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = rec.out.Flush()
	_ = rec.file.Close()
}
