package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes a line with the time since the start in seconds.
func (rec *Record) Printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%7.3f %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time of a moment since the start in seconds.
func (rec *Record) Since(at time.Time) float64 { return at.Sub(rec.start).Seconds() }
