// Package keeper is a simulated platform for tests and load runs. It has
// versioned objects with conditional updates and watches, a list of hosts and
// endpoints that lags behind its changes, rate limits, and faults that tests
// inject through a control API.
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

// Settings configure the delays and limits of the platform.
type Settings struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7000" description:"address, as IP:port"`
	ReadRate    float64       `long:"read-rate" default:"2000" description:"reads a second"`
	WriteRate   float64       `long:"write-rate" default:"300" description:"writes a second"`
	Delay       time.Duration `long:"delay" default:"2ms" description:"delay of each answer"`
	ListLag     time.Duration `long:"list-lag" default:"1s" description:"lag of the host list"`
	WeightRate  float64       `long:"weight-rate" default:"4" description:"weight reads a second"`
	MaxWatchers int           `long:"max-watchers" default:"1000" description:"limit of waiting watches"`
}

// Faults are the injected faults that are in effect.
type Faults struct {
	// Down refuses every call.
	Down bool
	// SlowMs adds to the delay of each answer, in milliseconds.
	SlowMs int
	// LoseAnswers is the number of writes that are applied but not answered.
	LoseAnswers int
	// FreezeList keeps the list of hosts and endpoints unchanged while it is set.
	FreezeList bool
	// OneShots are faults of single calls. Each call gets the first one that
	// applies to it.
	OneShots []OneShot `json:",omitempty"`
}

// OneShot is a fault that is injected into one call.
type OneShot struct {
	// Method and PathPrefix select the calls by HTTP method and object path; empty
	// means any.
	Method     string
	PathPrefix string
	// Skip is the number of selected calls that pass before the fault.
	Skip int
	Kind FaultKind
	// SlowMs is the added delay of Slow and SlowAnswer, in milliseconds.
	SlowMs int
}

// FaultKind is what a one-shot fault does to a call.
type FaultKind string

// Kinds of one-shot faults.
const (
	// Refuse answers status 503 without applying the call.
	Refuse FaultKind = "Refuse"
	// Drop closes the connection without applying the call.
	Drop FaultKind = "Drop"
	// LoseAnswer applies the call and closes the connection without an answer.
	LoseAnswer FaultKind = "LoseAnswer"
	// Slow delays the call before it is applied.
	Slow FaultKind = "Slow"
	// SlowAnswer applies the call and delays the answer.
	SlowAnswer FaultKind = "SlowAnswer"
)

// Keeper is a simulated platform. Use New.
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

// Counts are the calls received so far. A watch counts as one read, however long
// it waits; Waiting is the number of watches that are waiting now.
type Counts struct{ Reads, Writes, Watches, Waiting, Weights, Limited int }

// Change is one accepted write of an object, for tests that check its history.
type Change struct {
	Version uint64
	At      time.Time
	Bytes   int
	Deleted bool `json:",omitempty"`
}

// maxChanges bounds the changes that are kept for one object.
const maxChanges = 10_000

type listing struct {
	at      time.Time
	entries []persister.Entry
}

// New returns a platform without objects, hosts or endpoints.
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

// Handler serves the API of the platform, and the control API by which tests set
// entries, inject faults and read counts.
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

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

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
	value, err := io.ReadAll(io.LimitReader(req.Body, persister.MaxValueBytes+1))
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(value) > persister.MaxValueBytes {
		wri.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	path := mux.Vars(req)["path"]
	kee.mu.Lock()
	if !kee.preconditionHolds(path, req) {
		kee.mu.Unlock()
		wri.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	kee.version++
	version := kee.version
	kee.objects[path] = persister.Object{Path: path, Version: version, Value: value}
	lost := kee.recordChange(path, Change{Version: version, At: time.Now(), Bytes: len(value)})
	kee.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("ETag", etag(version))
}

// recordChange records a change, wakes the watches and reports whether the
// answer is to be lost.
func (kee *Keeper) recordChange(path string, cha Change) bool {
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

// preconditionHolds checks the If-None-Match or If-Match header of a write.
func (kee *Keeper) preconditionHolds(path string, req *http.Request) bool {
	old, ok := kee.objects[path]
	if req.Header.Get("If-None-Match") == "*" {
		return !ok
	}
	return ok && req.Header.Get("If-Match") == etag(old.Version)
}

func (kee *Keeper) delete(wri http.ResponseWriter, req *http.Request) {
	path := mux.Vars(req)["path"]
	kee.mu.Lock()
	if !kee.preconditionHolds(path, req) {
		kee.mu.Unlock()
		wri.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	delete(kee.objects, path)
	kee.version++
	lost := kee.recordChange(path, Change{Version: kee.version, At: time.Now(), Deleted: true})
	kee.mu.Unlock()
	if lost {
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
	kee.recordListing()
}

func (kee *Keeper) deleteEntry(_ http.ResponseWriter, req *http.Request) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	delete(kee.entries, mux.Vars(req)["id"])
	kee.recordListing()
}

// recordListing adds the current entries to the history of the list.
func (kee *Keeper) recordListing() {
	if kee.faults.FreezeList {
		return
	}
	lis := listing{at: time.Now()}
	for _, ent := range kee.entries {
		lis.entries = append(lis.entries, ent)
	}
	sort.Slice(lis.entries, func(i, j int) bool { return lis.entries[i].ID < lis.entries[j].ID })
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
