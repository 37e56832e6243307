// Package keeper stands in for the platform in tests: versioned objects with
// conditional updates and watches, a lagging list of hosts, rates, and faults
// that are switched on through a control handler.
package keeper

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"hemlockpin/connection/persister"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Settings are the sizes and rates of the platform.
type Settings struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7000" description:"address, as IP:port"`
	ReadRate    float64       `long:"read-rate" default:"2000" description:"reads a second"`
	WriteRate   float64       `long:"write-rate" default:"300" description:"writes a second"`
	Delay       time.Duration `long:"delay" default:"2ms" description:"delay of each answer"`
	ListLag     time.Duration `long:"list-lag" default:"1s" description:"lag of the host list"`
	WeightRate  float64       `long:"weight-rate" default:"4" description:"weight reads a second"`
	MaxWatchers int           `long:"max-watchers" default:"1000" description:"limit of waiting watches"`
}

// Faults are the failures switched on.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Slow adds to the delay of each answer, in milliseconds.
	SlowMs int
	// LoseAnswers applies this many writes without answering them.
	LoseAnswers int
	// FreezeList keeps the host list as it was when it was set.
	FreezeList bool
	// OneShots strike single calls, in their order.
	OneShots []OneShot `json:",omitempty"`
}

// OneShot is a fault that strikes one call.
type OneShot struct {
	// Method and PathPrefix pick the calls of the object API; empty for any.
	Method     string
	PathPrefix string
	// Skip lets this many of the picked calls pass first.
	Skip int
	Kind FaultKind
	// SlowMs is the added delay of a Slow call, in milliseconds.
	SlowMs int
}

// FaultKind is what a one-shot fault does to a call.
type FaultKind string

// Kinds of one-shot faults.
const (
	// Refuse answers that the platform is unavailable, without effect.
	Refuse FaultKind = "Refuse"
	// Drop closes the connection without effect.
	Drop FaultKind = "Drop"
	// LoseAnswer closes the connection after the effect.
	LoseAnswer FaultKind = "LoseAnswer"
	// Slow delays the call before its effect.
	Slow FaultKind = "Slow"
	// SlowAnswer delays the answer after the effect.
	SlowAnswer FaultKind = "SlowAnswer"
)

// Keeper is the platform's state.
type Keeper struct {
	set     Settings
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter

	mu      sync.Mutex
	version uint64
	objects map[string]persister.Object
	entries map[string]persister.Entry
	history []listing
	faults  Faults
	changed chan struct{}
	counts  Counts
	changes map[string][]Change
}

// Counts are the calls taken so far. A watch counts as one read, however long
// it waits; Waiting is the number of watches that wait now.
type Counts struct{ Reads, Writes, Watches, Waiting, Weights, Limited int }

// Change is one accepted write of an object, as checkers of histories see it.
type Change struct {
	Version uint64
	At      time.Time
	Bytes   int
	Deleted bool `json:",omitempty"`
}

// maxChanges bounds the changes kept of one object.
const maxChanges = 10_000

type listing struct {
	at      time.Time
	entries []persister.Entry
}

// New starts with empty state.
func New(set Settings) *Keeper {
	return &Keeper{
		set:     set,
		reads:   rate.NewLimiter(rate.Limit(set.ReadRate), int(set.ReadRate)),
		writes:  rate.NewLimiter(rate.Limit(set.WriteRate), int(set.WriteRate)),
		weights: rate.NewLimiter(rate.Limit(set.WeightRate), max(1, int(set.WeightRate))),
		changes: map[string][]Change{},
		objects: map[string]persister.Object{},
		entries: map[string]persister.Entry{},
		changed: make(chan struct{}),
	}
}

// Handler serves the platform's API and its control.
func (kee *Keeper) Handler() http.Handler {
	rou := mux.NewRouter()
	rou.HandleFunc("/control/entries", kee.putEntry).Methods(http.MethodPut)
	rou.HandleFunc("/control/entries/{id}", kee.deleteEntry).Methods(http.MethodDelete)
	rou.HandleFunc("/control/faults", kee.putFaults).Methods(http.MethodPut)
	rou.HandleFunc("/control/counts", kee.getCounts).Methods(http.MethodGet)
	rou.HandleFunc("/control/changes/{path:.+}", kee.getChanges).Methods(http.MethodGet)
	rou.HandleFunc("/v1/weights/{model}/{version}", kee.guard(kee.getWeights)).Methods(http.MethodGet)
	rou.HandleFunc("/v1/objects/{path:.+}", kee.guard(kee.get)).Methods(http.MethodGet)
	rou.HandleFunc("/v1/objects/{path:.+}", kee.guard(kee.put)).Methods(http.MethodPut)
	rou.HandleFunc("/v1/objects/{path:.+}", kee.guard(kee.delete)).Methods(http.MethodDelete)
	rou.HandleFunc("/v1/watch", kee.guard(kee.watch)).Methods(http.MethodGet)
	rou.HandleFunc("/v1/hosts", kee.guard(kee.list)).Methods(http.MethodGet)
	return rou
}

func etag(ver uint64) string { return strconv.Quote(strconv.FormatUint(ver, 10)) }

func (kee *Keeper) get(wri http.ResponseWriter, req *http.Request) {
	kee.mu.Lock()
	obj, ok := kee.objects[mux.Vars(req)["path"]]
	kee.mu.Unlock()
	if !ok {
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	wri.Header().Set("ETag", etag(obj.Version))
	_, _ = wri.Write(obj.Value)
}

func (kee *Keeper) put(wri http.ResponseWriter, req *http.Request) {
	val, err := io.ReadAll(io.LimitReader(req.Body, persister.MaxValueBytes+1))
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(val) > persister.MaxValueBytes {
		wri.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	path := mux.Vars(req)["path"]
	kee.mu.Lock()
	if !kee.matches(path, req) {
		kee.mu.Unlock()
		wri.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	kee.version++
	ver := kee.version
	kee.objects[path] = persister.Object{Path: path, Version: ver, Value: val}
	los := kee.changeDone(path, Change{Version: ver, At: time.Now(), Bytes: len(val)})
	kee.mu.Unlock()
	if los {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("ETag", etag(ver))
}

// changeDone notes a change, wakes the watchers and reports whether the answer
// is to be lost.
func (kee *Keeper) changeDone(path string, cha Change) bool {
	if len(kee.changes[path]) < maxChanges {
		kee.changes[path] = append(kee.changes[path], cha)
	}
	close(kee.changed)
	kee.changed = make(chan struct{})
	if kee.faults.LoseAnswers == 0 {
		return false
	}
	kee.faults.LoseAnswers--
	return true
}

func (kee *Keeper) matches(path string, req *http.Request) bool {
	old, ok := kee.objects[path]
	if req.Header.Get("If-None-Match") == "*" {
		return !ok
	}
	return ok && req.Header.Get("If-Match") == etag(old.Version)
}

func (kee *Keeper) delete(wri http.ResponseWriter, req *http.Request) {
	path := mux.Vars(req)["path"]
	kee.mu.Lock()
	if !kee.matches(path, req) {
		kee.mu.Unlock()
		wri.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	delete(kee.objects, path)
	kee.version++
	los := kee.changeDone(path, Change{Version: kee.version, At: time.Now(), Deleted: true})
	kee.mu.Unlock()
	if los {
		panic(http.ErrAbortHandler)
	}
	wri.WriteHeader(http.StatusNoContent)
}

func (kee *Keeper) putEntry(wri http.ResponseWriter, req *http.Request) {
	var ent persister.Entry
	if err := json.NewDecoder(req.Body).Decode(&ent); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	kee.mu.Lock()
	defer kee.mu.Unlock()
	kee.entries[ent.ID] = ent
	kee.snapshot()
}

func (kee *Keeper) deleteEntry(_ http.ResponseWriter, req *http.Request) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	delete(kee.entries, mux.Vars(req)["id"])
	kee.snapshot()
}

func (kee *Keeper) snapshot() {
	if kee.faults.FreezeList {
		return
	}
	lis := listing{at: time.Now()}
	for _, ent := range kee.entries {
		lis.entries = append(lis.entries, ent)
	}
	sort.Slice(lis.entries, func(one, two int) bool { return lis.entries[one].ID < lis.entries[two].ID })
	kee.history = append(kee.history, lis)
}

func (kee *Keeper) putFaults(wri http.ResponseWriter, req *http.Request) {
	var fau Faults
	if err := json.NewDecoder(req.Body).Decode(&fau); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	kee.mu.Lock()
	defer kee.mu.Unlock()
	kee.faults = fau
}

func (kee *Keeper) getCounts(wri http.ResponseWriter, _ *http.Request) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(kee.counts)
}
