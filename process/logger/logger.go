// Package logger writes a host's log lines without ever blocking the host.
//
// Lines wait in a bounded buffer for a writer of their own. When the buffer is
// full, ordinary lines are shed first; warnings and errors, which tell of
// failures and refusals, keep a part of it for themselves. What was shed is
// counted by kind and logged once there is room again.
package logger

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// DefaultBufferBytes is the usual size of the buffer, about 4,000 lines.
	DefaultBufferBytes = 1 << 20
	// ordinaryShare is the share of the buffer that ordinary lines may fill.
	ordinaryShare = 0.75
	// writeBytes is the most that one write takes.
	maxWriteBytes = 64 << 10
	// collectTime is how long lines are collected before they are written.
	batchDelay = 20 * time.Millisecond
	// flushTimeout bounds the wait for the last lines at the end of a process.
	flushTimeout = 500 * time.Millisecond
)

// Shed counts the lines that were not written.
type Shed struct {
	// Ordinary counts lines below the level of a warning, Important the others.
	Ordinary  int64
	Important int64
}

// Writer buffers lines for an output. New makes one.
type Writer struct {
	out   io.Writer
	limit int

	mu       sync.Mutex
	wake     chan struct{}
	buf      []byte
	shed     Shed
	reported Shed
	closed   bool
	stopped  chan struct{}
}

// New returns a writer that buffers at most limit bytes for out.
func New(out io.Writer, limit int) *Writer {
	wri := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	go wri.run()
	return wri
}

// Write takes an ordinary line.
func (wri *Writer) Write(line []byte) (int, error) { return wri.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel takes a line, or sheds it. It never fails and never blocks.
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

// Shed returns the counts of lines that were not written.
func (wri *Writer) Shed() Shed {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	return wri.shed
}

// Close writes what waits, as far as the output takes it in time.
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

// take moves lines out of the buffer, with a line on those that were shed.
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
