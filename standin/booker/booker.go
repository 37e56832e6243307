// Package booker stands in for a plain service in tests. It counts each
// execution by key, so that a second run of a call can be seen from outside.
package booker

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Settings are the timing of the service.
type Settings struct {
	Listen string        `long:"listen" default:"127.0.0.1:7200" description:"address, as IP:port"`
	Delay  time.Duration `long:"delay" default:"5ms" description:"time that a call takes"`
}

// Faults are the failures switched on.
type Faults struct {
	// LoseAnswers runs this many calls without answering them.
	LoseAnswers int
	// SlowMs adds to the time of a call.
	SlowMs int
}

// Booker is the state of the service.
type Booker struct {
	set Settings

	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// New starts with no executions.
func New(set Settings) *Booker { return &Booker{set: set, runs: map[string]int{}} }

// Handler serves calls and the control.
func (boo *Booker) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc("/control/runs", boo.getRuns).Methods(http.MethodGet)
	rou.HandleFunc("/control/faults", boo.putFaults).Methods(http.MethodPut)
	rou.PathPrefix("/").HandlerFunc(boo.call)
	return rou
}

func (boo *Booker) call(wri http.ResponseWriter, req *http.Request) {
	bod, err := io.ReadAll(req.Body)
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	key := req.Header.Get("Idempotency-Key")
	boo.mu.Lock()
	boo.runs[key]++
	run := boo.runs[key]
	sle := boo.set.Delay + time.Duration(boo.faults.SlowMs)*time.Millisecond
	los := boo.faults.LoseAnswers > 0
	if los {
		boo.faults.LoseAnswers--
	}
	boo.mu.Unlock()
	time.Sleep(sle)
	if los {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(struct {
		Key   string
		Run   int
		Bytes int
		Path  string
	}{key, run, len(bod), req.URL.Path})
}

func (boo *Booker) getRuns(wri http.ResponseWriter, _ *http.Request) {
	boo.mu.Lock()
	defer boo.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(boo.runs)
}

func (boo *Booker) putFaults(wri http.ResponseWriter, req *http.Request) {
	var fau Faults
	if err := json.NewDecoder(req.Body).Decode(&fau); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	boo.mu.Lock()
	defer boo.mu.Unlock()
	boo.faults = fau
}
