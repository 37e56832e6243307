package keeper

import (
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// guard applies outage, one-shot faults, rate and delay.
func (kee *Keeper) guard(nex http.HandlerFunc) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		fau, one := kee.faultsOf(req)
		if fau.Down || one.Kind == Refuse {
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if one.Kind == Drop {
			panic(http.ErrAbortHandler)
		}
		if !kee.allow(req) {
			wri.Header().Set("Retry-After", "1")
			wri.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(kee.set.Delay + time.Duration(fau.SlowMs)*time.Millisecond)
		if one.Kind == Slow {
			time.Sleep(time.Duration(one.SlowMs) * time.Millisecond)
		}
		out := afterEffect(wri, one)
		nex(out, req)
		switch out := out.(type) {
		case *lostWriter:
			panic(http.ErrAbortHandler)
		case *slowWriter:
			out.wait()
		}
	}
}

// afterEffect returns the writer that an answer goes to under a fault.
func afterEffect(wri http.ResponseWriter, one OneShot) http.ResponseWriter {
	switch one.Kind {
	case LoseAnswer:
		return &lostWriter{header: http.Header{}}
	case SlowAnswer:
		return &slowWriter{ResponseWriter: wri, delay: time.Duration(one.SlowMs) * time.Millisecond}
	default:
		return wri
	}
}

// lostWriter discards an answer.
type lostWriter struct{ header http.Header }

func (los *lostWriter) Header() http.Header           { return los.header }
func (los *lostWriter) Write(buf []byte) (int, error) { return len(buf), nil }
func (los *lostWriter) WriteHeader(int)               {}

// slowWriter holds an answer back.
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

// faultsOf returns the lasting faults and takes the one-shot fault that strikes
// the call, if any.
func (kee *Keeper) faultsOf(req *http.Request) (Faults, OneShot) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	path := mux.Vars(req)["path"]
	for ind := range kee.faults.OneShots {
		one := &kee.faults.OneShots[ind]
		if one.Method != "" && one.Method != req.Method || !strings.HasPrefix(path, one.PathPrefix) {
			continue
		}
		if one.Skip > 0 {
			one.Skip--
			continue
		}
		hit := *one
		kee.faults.OneShots = append(kee.faults.OneShots[:ind:ind], kee.faults.OneShots[ind+1:]...)
		return kee.faults, hit
	}
	return kee.faults, OneShot{}
}

// allow counts a call and holds it against its rate. A waiting watch is a read.
func (kee *Keeper) allow(req *http.Request) bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	lim := kee.reads
	if req.Method != http.MethodGet {
		lim = kee.writes
		kee.counts.Writes++
	} else {
		kee.counts.Reads++
	}
	if lim.Allow() {
		return true
	}
	kee.counts.Limited++
	return false
}
