package keeper

import (
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// guard applies outages, one-shot faults, rate limits and delays to a handler of
// the platform's API.
func (kee *Keeper) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		fau, shot := kee.takeFaults(req)
		if fau.Down || shot.Kind == Refuse {
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if shot.Kind == Drop {
			panic(http.ErrAbortHandler)
		}
		if !kee.allow(req) {
			wri.Header().Set("Retry-After", "1")
			wri.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(kee.set.Delay + time.Duration(fau.SlowMs)*time.Millisecond)
		if shot.Kind == Slow {
			time.Sleep(time.Duration(shot.SlowMs) * time.Millisecond)
		}
		out := answerWriter(wri, shot)
		next(out, req)
		switch out := out.(type) {
		case *lostWriter:
			panic(http.ErrAbortHandler)
		case *slowWriter:
			out.wait()
		}
	}
}

// answerWriter returns the writer for the answer to a call under a one-shot fault.
func answerWriter(wri http.ResponseWriter, shot OneShot) http.ResponseWriter {
	switch shot.Kind {
	case LoseAnswer:
		return &lostWriter{header: http.Header{}}
	case SlowAnswer:
		return &slowWriter{ResponseWriter: wri, delay: time.Duration(shot.SlowMs) * time.Millisecond}
	default:
		return wri
	}
}

// lostWriter discards an answer.
type lostWriter struct{ header http.Header }

func (los *lostWriter) Header() http.Header           { return los.header }
func (los *lostWriter) Write(buf []byte) (int, error) { return len(buf), nil }
func (los *lostWriter) WriteHeader(int)               {}

// slowWriter delays an answer once, before its status or first bytes are sent.
type slowWriter struct {
	http.ResponseWriter
	delay time.Duration
}

// WriteHeader sends the status after the delay.
func (slo *slowWriter) WriteHeader(status int) {
	slo.wait()
	slo.ResponseWriter.WriteHeader(status)
}

// Write sends the body after the delay.
func (slo *slowWriter) Write(buf []byte) (int, error) {
	slo.wait()
	return slo.ResponseWriter.Write(buf)
}

func (slo *slowWriter) wait() {
	time.Sleep(slo.delay)
	slo.delay = 0
}

// takeFaults returns the faults for a call: the lasting ones and the first
// one-shot fault that applies, which it removes from the list.
func (kee *Keeper) takeFaults(req *http.Request) (Faults, OneShot) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	path := mux.Vars(req)["path"]
	for i := range kee.faults.OneShots {
		shot := &kee.faults.OneShots[i]
		if shot.Method != "" && shot.Method != req.Method || !strings.HasPrefix(path, shot.PathPrefix) {
			continue
		}
		if shot.Skip > 0 {
			shot.Skip--
			continue
		}
		injected := *shot
		kee.faults.OneShots = append(kee.faults.OneShots[:i:i], kee.faults.OneShots[i+1:]...)
		return kee.faults, injected
	}
	return kee.faults, OneShot{}
}

// allow counts a call and reports whether the rate of reads or writes admits it.
// A watch is one read.
func (kee *Keeper) allow(req *http.Request) bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	limiter := kee.reads
	if req.Method != http.MethodGet {
		limiter = kee.writes
		kee.counts.Writes++
	} else {
		kee.counts.Reads++
	}
	if limiter.Allow() {
		return true
	}
	kee.counts.Limited++
	return false
}
