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
	"strings"
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
}

// Keeper is the platform's state.
type Keeper struct {
	set    Settings
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	version uint64
	objects map[string]persister.Object
	entries map[string]persister.Entry
	history []listing
	faults  Faults
	changed chan struct{}
	counts  Counts
}

// Counts are the calls served so far.
type Counts struct{ Reads, Writes, Watches, Limited int }

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
	rou.HandleFunc("/v1/objects/{path:.+}", kee.guard(kee.get)).Methods(http.MethodGet)
	rou.HandleFunc("/v1/objects/{path:.+}", kee.guard(kee.put)).Methods(http.MethodPut)
	rou.HandleFunc("/v1/objects/{path:.+}", kee.guard(kee.delete)).Methods(http.MethodDelete)
	rou.HandleFunc("/v1/watch", kee.guard(kee.watch)).Methods(http.MethodGet)
	rou.HandleFunc("/v1/hosts", kee.guard(kee.list)).Methods(http.MethodGet)
	return rou
}

// guard applies outage, rate and delay.
func (kee *Keeper) guard(nex http.HandlerFunc) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		kee.mu.Lock()
		fau := kee.faults
		kee.mu.Unlock()
		if fau.Down {
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !kee.allow(req) {
			wri.Header().Set("Retry-After", "1")
			wri.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(kee.set.Delay + time.Duration(fau.SlowMs)*time.Millisecond)
		nex(wri, req)
	}
}

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
	los := kee.changeDone()
	kee.mu.Unlock()
	if los {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("ETag", etag(ver))
}

// changeDone wakes the watchers and reports whether the answer is to be lost.
func (kee *Keeper) changeDone() bool {
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
	los := kee.changeDone()
	kee.mu.Unlock()
	if los {
		panic(http.ErrAbortHandler)
	}
	wri.WriteHeader(http.StatusNoContent)
}

func (kee *Keeper) watch(wri http.ResponseWriter, req *http.Request) {
	aft, _ := strconv.ParseUint(req.FormValue("After"), 10, 64)
	wai, _ := strconv.Atoi(req.FormValue("WaitMs"))
	tim := time.NewTimer(time.Duration(wai) * time.Millisecond)
	defer tim.Stop()
	for {
		objs, cha := kee.after(req.FormValue("Prefix"), aft)
		if len(objs) > 0 {
			_ = json.NewEncoder(wri).Encode(objs)
			return
		}
		select {
		case <-cha:
		case <-tim.C:
			_ = json.NewEncoder(wri).Encode([]persister.Object{})
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (kee *Keeper) after(prefix string, aft uint64) ([]persister.Object, chan struct{}) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	var objs []persister.Object
	for _, obj := range kee.objects {
		if obj.Version > aft && strings.HasPrefix(obj.Path, prefix) {
			objs = append(objs, obj)
		}
	}
	return objs, kee.changed
}

// list serves the newest listing that is at least the lag old.
func (kee *Keeper) list(wri http.ResponseWriter, _ *http.Request) {
	kee.mu.Lock()
	ents := []persister.Entry{}
	lim := time.Now().Add(-kee.set.ListLag)
	for _, lis := range kee.history {
		if lis.at.Before(lim) {
			ents = lis.entries
		}
	}
	kee.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(ents)
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
