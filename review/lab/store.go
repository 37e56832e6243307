// Package lab has the stand-ins of the second review: the platform's store, servers, engines and
// callers, and the hosts as processes. All of them use loopback addresses only.
package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of objects in a page of a list.
	pageItems = 500
	// storeDelay is the time that an answer of the store takes.
	storeDelay = 4 * time.Millisecond
)

// object is an object of the store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedRev uint64   `json:"createdRev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// storeEvent is a change of an object.
type storeEvent struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// Store is a stand-in for the platform's metadata store. It answers linearizably and loses
// nothing.
type Store struct {
	Record  *Record
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
}

// NewStore starts a store at an address.
func NewStore(rec *Record, address string) (*Store, error) {
	sto := &Store{Record: rec, Address: address, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: sto, ReadHeaderTimeout: time.Minute}).Serve(lis) }()
	return sto, nil
}

// Put writes an object as the operator or a server does, and returns the time of the ack.
func (sto *Store) Put(kind, name string, spec any) time.Time {
	buf, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.put(kind, name, buf)
	return time.Now()
}

// put must be called with mu held.
func (sto *Store) put(kind, name string, spec json.RawMessage) object {
	sto.revision++
	if sto.objects[kind] == nil {
		sto.objects[kind] = map[string]object{}
	}
	obj, known := sto.objects[kind][name]
	obj.Spec = spec
	obj.Meta.Name, obj.Meta.Revision, obj.Meta.Finalizers = name, sto.revision, []string{}
	if !known {
		obj.Meta.CreatedRev = sto.revision
	}
	sto.objects[kind][name] = obj
	sto.publish(storeEvent{kind: kind, revision: sto.revision, Object: obj})
	return obj
}

// Remove deletes an object and returns the time of the ack.
func (sto *Store) Remove(kind, name string) time.Time {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj, known := sto.objects[kind][name]
	if known {
		delete(sto.objects[kind], name)
		sto.revision++
		sto.publish(storeEvent{kind: kind, revision: sto.revision, Object: obj, Deleted: true})
	}
	return time.Now()
}

// publish must be called with mu held.
func (sto *Store) publish(eve storeEvent) {
	sto.events = append(sto.events, eve)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (sto *Store) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	time.Sleep(storeDelay)
	kind, name := splitPath(htr.URL.Path)
	que := htr.URL.Query()
	switch {
	case htr.Method == http.MethodGet && que.Has("watch"):
		sto.watch(wri, htr, kind)
	case htr.Method == http.MethodGet && name == "":
		sto.list(wri, kind, que.Get("after"))
	case htr.Method == http.MethodPost:
		sto.create(wri, htr, kind)
	case htr.Method == http.MethodDelete:
		sto.Remove(kind, name)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

// splitPath returns the kind and the name in a path.
func splitPath(target string) (kind, name string) {
	rest := strings.TrimPrefix(path.Clean(target), "/v1/objects/")
	kind, name, _ = strings.Cut(rest, "/")
	return kind, name
}

func (sto *Store) list(wri http.ResponseWriter, kind, after string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	var names []string
	for name := range sto.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, sto.objects[kind][name])
	}
	writeJSON(wri, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": sto.revision})
}

func (sto *Store) create(wri http.ResponseWriter, htr *http.Request, kind string) {
	var obj object
	if err := json.NewDecoder(htr.Body).Decode(&obj); err != nil || obj.Meta.Name == "" {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if old, known := sto.objects[kind][obj.Meta.Name]; known {
		writeJSON(wri, http.StatusConflict, old)
		return
	}
	writeJSON(wri, http.StatusOK, sto.put(kind, obj.Meta.Name, obj.Spec))
}

func (sto *Store) watch(wri http.ResponseWriter, htr *http.Request, kind string) {
	after, _ := strconv.ParseUint(htr.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(htr.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for timedOut := false; ; {
		sto.mu.Lock()
		events := []storeEvent{}
		for _, eve := range sto.events {
			if eve.kind == kind && eve.revision > after {
				events = append(events, eve)
			}
		}
		rev, changed := sto.revision, sto.changed
		sto.mu.Unlock()
		if len(events) > 0 || timedOut {
			writeJSON(wri, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-htr.Context().Done():
			return
		}
	}
}

func writeJSON(wri http.ResponseWriter, status int, value any) {
	buf, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("writeJSON: %v", err))
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_, _ = wri.Write(buf)
}
