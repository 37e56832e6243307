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
	// DefaultBytes bounds the lines that wait, about 4,000 of them.
	DefaultBytes = 1 << 20
	// ordinaryShare is the share of the buffer that ordinary lines may fill.
	ordinaryShare = 0.75
	// writeBytes is the most that one write takes.
	writeBytes = 64 << 10
	// collectTime is how long lines are collected before they are written.
	collectTime = 20 * time.Millisecond
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
	out io.Writer
	max int

	mu      sync.Mutex
	wake    chan struct{}
	buf     []byte
	shed    Shed
	told    Shed
	closed  bool
	stopped chan struct{}
}

// New returns a writer that buffers at most limit bytes for out.
func New(out io.Writer, limit int) *Writer {
	wri := &Writer{out: out, max: limit, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	go wri.run()
	return wri
}

// Write takes an ordinary line.
func (wri *Writer) Write(lin []byte) (int, error) { return wri.WriteLevel(zerolog.InfoLevel, lin) }

// WriteLevel takes a line, or sheds it. It never fails and never blocks.
func (wri *Writer) WriteLevel(lev zerolog.Level, lin []byte) (int, error) {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	lim := wri.max
	if lev < zerolog.WarnLevel {
		lim = int(ordinaryShare * float64(wri.max))
	}
	switch {
	case len(wri.buf)+len(lin) <= lim:
		wri.buf = append(wri.buf, lin...)
		wri.signal()
	case lev < zerolog.WarnLevel:
		wri.shed.Ordinary++
	default:
		wri.shed.Important++
	}
	return len(lin), nil
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
		clo := wri.isClosed()
		if !clo {
			time.Sleep(collectTime)
		}
		for {
			if buf = wri.take(buf); len(buf) == 0 {
				break
			}
			_, _ = wri.out.Write(buf)
		}
		if clo {
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
func (wri *Writer) take(buf []byte) []byte {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	num := len(wri.buf)
	if num > writeBytes {
		num = writeBytes
		for num < len(wri.buf) && wri.buf[num-1] != '\n' {
			num++
		}
	}
	buf = append(buf[:0], wri.buf[:num]...)
	wri.buf = append(wri.buf[:0], wri.buf[num:]...)
	if wri.shed != wri.told {
		buf = fmt.Appendf(buf, `{"level":"warn","ShedOrdinary":%d,"ShedImportant":%d,"message":"log lines shed since the start"}`+"\n", wri.shed.Ordinary, wri.shed.Important)
		wri.told = wri.shed
	}
	return buf
}
