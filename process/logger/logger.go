// Package logger writes a host's log lines without ever blocking the host.
//
// A goroutine writes the lines from a bounded buffer. When the buffer is full, lines
// are dropped. A part of the buffer is reserved for warnings and errors, which report
// failures and refusals, so that ordinary lines are dropped first. Dropped lines are
// counted by kind (Shed), and the counts are logged when the output accepts lines again.
package logger

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// DefaultBufferBytes is the default size of the buffer in bytes: room for about 4,000
	// lines.
	DefaultBufferBytes = 1 << 20
	// ordinaryShare is the share of the buffer that lines below the warning level may
	// fill.
	ordinaryShare = 0.75
	// maxWriteBytes is the size in bytes after which a write to the output ends at the next
	// end of a line.
	maxWriteBytes = 64 << 10
	// batchDelay is how long lines are collected before they are written together.
	batchDelay = 20 * time.Millisecond
	// flushTimeout limits how long Close waits for the last lines to be written.
	flushTimeout = 500 * time.Millisecond
)

// Shed counts the lines that were dropped because the buffer was full.
type Shed struct {
	// Ordinary counts lines below the warning level, Important counts all other lines.
	Ordinary  int64
	Important int64
}

// Writer buffers lines for an output. Use New to create one.
type Writer struct {
	out   io.Writer
	limit int

	mu sync.Mutex
	// wake has a value when run has lines to write or must end.
	wake chan struct{}
	buf  []byte
	shed Shed
	// reported is the value of shed that was last logged.
	reported Shed
	closed   bool
	// stopped is closed when run has ended.
	stopped chan struct{}
}

// New returns a writer that buffers at most limit bytes for out. It starts a goroutine,
// which Close ends.
func New(out io.Writer, limit int) *Writer {
	wri := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	go wri.run()
	return wri
}

// Write buffers or drops a line at the info level.
func (wri *Writer) Write(line []byte) (int, error) { return wri.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel buffers a line, or drops it if there is no room. It never fails and never
// waits for the output.
func (wri *Writer) WriteLevel(lev zerolog.Level, line []byte) (int, error) {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	limit := wri.limit
	if lev < zerolog.WarnLevel {
		limit = int(ordinaryShare * float64(wri.limit))
	}
	switch {
	case len(wri.buf)+len(line) <= limit:
		wri.buf = append(wri.buf, line...)
		wri.signal()
	case lev < zerolog.WarnLevel:
		wri.shed.Ordinary++
	default:
		wri.shed.Important++
	}
	return len(line), nil
}

func (wri *Writer) signal() {
	select {
	case wri.wake <- struct{}{}:
	default:
	}
}

// Shed returns the numbers of lines dropped so far.
func (wri *Writer) Shed() Shed {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	return wri.shed
}

// Close writes the buffered lines. It waits at most 500 ms for the output. Lines that are
// written after Close may not reach the output.
func (wri *Writer) Close() {
	wri.mu.Lock()
	if !wri.closed {
		wri.closed = true
		wri.signal()
	}
	wri.mu.Unlock()
	select {
	case <-wri.stopped:
	case <-time.After(flushTimeout):
	}
}

func (wri *Writer) run() {
	defer close(wri.stopped)
	var buf []byte
	for range wri.wake {
		closed := wri.isClosed()
		if !closed {
			time.Sleep(batchDelay)
		}
		for {
			if buf = wri.nextBatch(buf); len(buf) == 0 {
				break
			}
			_, _ = wri.out.Write(buf)
		}
		if closed {
			return
		}
	}
}

func (wri *Writer) isClosed() bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	return wri.closed
}

// nextBatch moves the next complete lines from the buffer to buf. If lines were dropped
// since the last report, it appends a line with the counts since the start.
func (wri *Writer) nextBatch(buf []byte) []byte {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	n := len(wri.buf)
	if n > maxWriteBytes {
		n = maxWriteBytes
		for n < len(wri.buf) && wri.buf[n-1] != '\n' {
			n++
		}
	}
	buf = append(buf[:0], wri.buf[:n]...)
	wri.buf = append(wri.buf[:0], wri.buf[n:]...)
	if wri.shed != wri.reported {
		buf = fmt.Appendf(buf, `{"level":"warn","ShedOrdinary":%d,"ShedImportant":%d,"message":"log lines shed since the start"}`+"\n", wri.shed.Ordinary, wri.shed.Important)
		wri.reported = wri.shed
	}
	return buf
}
