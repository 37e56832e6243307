package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"hemlockpin/process/measurer"
	"hemlockpin/request/responder"

	"github.com/rs/zerolog"
)

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}

// observeRequest records one complete streamed request of a route and a team.
func observeRequest(met *meter, route, team string) {
	now := time.Unix(1000, 0)
	rec := &responder.Recorder{ResponseWriter: httptest.NewRecorder(), Status: http.StatusOK, FirstWrite: now, LastWrite: now}
	rec.Header().Set("Content-Type", "text/event-stream")
	rec.Header().Set(responder.RunHeader, "Ran")
	rec.Labels = responder.Labels{Route: route, Team: team, PromptTokens: 1000}
	met.observe(rec, now, now.Add(time.Second))
}

// BenchmarkMeterMemory reports the bytes of metrics per route, if each route has a team of
// its own.
func BenchmarkMeterMemory(b *testing.B) {
	for _, routes := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			for range b.N {
				sco, han := measurer.New(zerolog.Nop())
				met := newMeter(sco)
				before := heapBytes()
				for i := range routes {
					observeRequest(met, fmt.Sprintf("route-%d", i), fmt.Sprintf("team-%d", i))
				}
				after := heapBytes()
				b.ReportMetric(float64(after-before)/float64(routes), "B/route")
				runtime.KeepAlive(han)
				_ = sco.(io.Closer).Close()
			}
		})
	}
}

// BenchmarkObserve measures recording one request of a known route.
func BenchmarkObserve(b *testing.B) {
	sco, _ := measurer.New(zerolog.Nop())
	met := newMeter(sco)
	for b.Loop() {
		observeRequest(met, "questions", "tailors")
	}
}

// BenchmarkRecorderWrite measures writing one token to the caller.
func BenchmarkRecorderWrite(b *testing.B) {
	sco, _ := measurer.New(zerolog.Nop())
	met := newMeter(sco)
	rec := &responder.Recorder{ResponseWriter: discard{}, Clock: time.Now, WriteTimeout: time.Second, OnWriteInterval: met.recordTokenInterval}
	buf := []byte("data: x\n\n")
	for b.Loop() {
		_, _ = rec.Write(buf)
	}
}

type discard struct{}

func (discard) Header() http.Header              { return http.Header{} }
func (discard) Write(buf []byte) (int, error)    { return len(buf), nil }
func (discard) WriteHeader(int)                  {}
func (discard) SetWriteDeadline(time.Time) error { return nil }
