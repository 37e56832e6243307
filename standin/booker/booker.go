// Package booker is a simulated plain service for tests and load runs. It counts
// the executions of each idempotency key, so that a test can detect a call that
// ran twice.
package booker

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Settings configure the service.
type Settings struct {
	Listen string        `long:"listen" default:"127.0.0.1:7200" description:"address, as IP:port"`
	Delay  time.Duration `long:"delay" default:"5ms" description:"time that a call takes"`
}

// Faults are the injected faults that are in effect.
type Faults struct {
	// LoseAnswers is the number of calls that are run but not answered.
	LoseAnswers int
	// SlowMs adds to the time of each call, in milliseconds.
	SlowMs int
}

// Booker is a simulated service. Use New.
type Booker struct {
	set Settings

	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// New returns a service without executions.
func New(set Settings) *Booker { return &Booker{set: set, runs: map[string]int{}} }

// Handler serves calls on any path, and the control API by which tests inject
// faults and read the executions.
func (boo *Booker) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc("/control/runs", boo.getRuns).Methods(http.MethodGet)
	rou.HandleFunc("/control/faults", boo.putFaults).Methods(http.MethodPut)
	rou.PathPrefix("/").HandlerFunc(boo.call)
	return rou
}

func (boo *Booker) call(wri http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	key := req.Header.Get("Idempotency-Key")
	boo.mu.Lock()
	boo.runs[key]++
	run := boo.runs[key]
	delay := boo.set.Delay + time.Duration(boo.faults.SlowMs)*time.Millisecond
	lost := boo.faults.LoseAnswers > 0
	if lost {
		boo.faults.LoseAnswers--
	}
	boo.mu.Unlock()
	time.Sleep(delay)
	if lost {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(struct {
		Key   string
		Run   int
		Bytes int
		Path  string
	}{key, run, len(body), req.URL.Path})
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
