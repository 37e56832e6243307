package responder

import (
	"net/http"
	"time"
)

const deadlineRefresh = time.Second

// Labels say what a request was.
type Labels struct {
	Route        string
	Pool         string
	Team         string
	PromptTokens int64
}

// Recorder is a writer that notes the outcome of a request for metrics and
// bounds the time that a slow reader may hold it.
type Recorder struct {
	http.ResponseWriter
	// Clock returns the present time.
	Clock func() time.Time
	// WriteTimeout bounds each write; 0 stands for no bound.
	WriteTimeout time.Duration
	// OnInterval is told the time between two writes of a stream; nil for none.
	OnInterval func(time.Duration)

	// Labels are set once the route is known.
	Labels Labels
	// Status is 0 until the header is written.
	Status int
	// Code is the code of the problem told to the caller; empty for none.
	Code string
	// First and Last are the times of the first and the last write.
	First time.Time
	Last  time.Time
	// Bytes counts the body.
	Bytes int64
	// Err is the first failure to write to the caller.
	Err error

	extended time.Time
}

// Unwrap returns the writer below for http.ResponseController.
func (rec *Recorder) Unwrap() http.ResponseWriter { return rec.ResponseWriter }

// WriteHeader notes the status.
func (rec *Recorder) WriteHeader(status int) {
	if rec.Status == 0 {
		rec.Status = status
	}
	rec.extend(rec.Clock())
	rec.ResponseWriter.WriteHeader(status)
}

// Write notes the time of the write.
func (rec *Recorder) Write(buf []byte) (int, error) {
	now := rec.Clock()
	if rec.Status == 0 {
		rec.Status = http.StatusOK
	}
	if rec.First.IsZero() {
		rec.First = now
	} else if rec.OnInterval != nil {
		rec.OnInterval(now.Sub(rec.Last))
	}
	rec.Last = now
	rec.extend(now)
	num, err := rec.ResponseWriter.Write(buf)
	rec.Bytes += int64(num)
	if err != nil && rec.Err == nil {
		rec.Err = err
	}
	return num, err
}

// extend moves the write deadline ahead, at most once a second.
func (rec *Recorder) extend(now time.Time) {
	if rec.WriteTimeout <= 0 || now.Sub(rec.extended) < min(deadlineRefresh, rec.WriteTimeout/2) {
		return
	}
	rec.extended = now
	_ = http.NewResponseController(rec.ResponseWriter).SetWriteDeadline(now.Add(rec.WriteTimeout))
}

// recorderOf finds the recorder under a writer; nil if there is none.
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

// SetLabels notes what the request is.
func SetLabels(wri http.ResponseWriter, lab Labels) {
	if rec := recorderOf(wri); rec != nil {
		rec.Labels = lab
	}
}

// note keeps the code of a problem.
func note(wri http.ResponseWriter, pro Problem) {
	if rec := recorderOf(wri); rec != nil {
		rec.Code = pro.Code
	}
}
