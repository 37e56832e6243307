package responder

import (
	"net/http"
	"time"
)

// recorderDeadlineUpdateInterval is the minimum time between two updates of the write
// deadline, unless half of Recorder.WriteTimeout is shorter.
const recorderDeadlineUpdateInterval = time.Second

// Labels describe a request for metrics.
type Labels struct {
	Route        string
	Pool         string
	Team         string
	PromptTokens int64
}

// Recorder is a response writer that records the outcome of a request for metrics
// and sets write deadlines, so that a slow caller cannot block the request.
type Recorder struct {
	http.ResponseWriter
	// Clock returns the current time.
	Clock func() time.Time
	// WriteTimeout bounds each write; 0 means no limit.
	WriteTimeout time.Duration
	// OnWriteInterval is called with the time between two consecutive writes; it may
	// be nil.
	OnWriteInterval func(time.Duration)

	// Labels are set by SetLabels once the route is known; they are empty before.
	Labels Labels
	// Status is 0 until the header is written.
	Status int
	// Code is the code of the problem sent to the caller; empty for none.
	Code string
	// FirstWrite and LastWrite are the times of the first and the last write.
	FirstWrite time.Time
	LastWrite  time.Time
	// Bytes is the number of bytes of the body written so far.
	Bytes int64
	// Err is the first error of a write to the caller.
	Err error

	deadlineSetAt time.Time
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (rec *Recorder) Unwrap() http.ResponseWriter { return rec.ResponseWriter }

// WriteHeader records the status.
func (rec *Recorder) WriteHeader(status int) {
	if rec.Status == 0 {
		rec.Status = status
	}
	rec.extendDeadline(rec.Clock())
	rec.ResponseWriter.WriteHeader(status)
}

// Write records the time, size and error of the write.
func (rec *Recorder) Write(buf []byte) (int, error) {
	now := rec.Clock()
	if rec.Status == 0 {
		rec.Status = http.StatusOK
	}
	if rec.FirstWrite.IsZero() {
		rec.FirstWrite = now
	} else if rec.OnWriteInterval != nil {
		rec.OnWriteInterval(now.Sub(rec.LastWrite))
	}
	rec.LastWrite = now
	rec.extendDeadline(now)
	n, err := rec.ResponseWriter.Write(buf)
	rec.Bytes += int64(n)
	if err != nil && rec.Err == nil {
		rec.Err = err
	}
	return n, err
}

// extendDeadline sets the write deadline to WriteTimeout from now, at most once per
// recorderDeadlineUpdateInterval or half of WriteTimeout, whichever is shorter.
func (rec *Recorder) extendDeadline(now time.Time) {
	if rec.WriteTimeout <= 0 || now.Sub(rec.deadlineSetAt) < min(recorderDeadlineUpdateInterval, rec.WriteTimeout/2) {
		return
	}
	rec.deadlineSetAt = now
	_ = http.NewResponseController(rec.ResponseWriter).SetWriteDeadline(now.Add(rec.WriteTimeout))
}

// recorderOf returns the Recorder that a writer is or wraps; nil if there is none.
func recorderOf(wri http.ResponseWriter) *Recorder {
	for {
		switch out := wri.(type) {
		case *Recorder:
			return out
		case interface{ Unwrap() http.ResponseWriter }:
			wri = out.Unwrap()
		default:
			return nil
		}
	}
}

// SetLabels sets the labels of the Recorder that wri is or wraps.
func SetLabels(wri http.ResponseWriter, lab Labels) {
	if rec := recorderOf(wri); rec != nil {
		rec.Labels = lab
	}
}

// setCode records the code of a problem.
func setCode(wri http.ResponseWriter, pro Problem) {
	if rec := recorderOf(wri); rec != nil {
		rec.Code = pro.Code
	}
}
