package standins

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, run and answered to a file, a line each.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Printf writes one line with the time since the start.
func (rec *Record) Printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%8.3f s  %s\n", time.Since(rec.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (rec *Record) Close() error { return rec.file.Close() }
