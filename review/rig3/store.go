// Package rig3 has stand-ins of the platform, servers and clients for the cases of the third
// review, and starts the daemons of a small deployment.
package rig3

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the metadata of an object of the store.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Meta   meta            `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is an entry of the store's history.
type change struct {
	kind    string
	object  object
	deleted bool
}

// Copy is a copy of all that a store holds.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
	history  []change
}

// Revision returns the revision of the copy.
func (cop Copy) Revision() uint64 { return cop.revision }

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Record *Record

	mu   sync.Mutex
	era  int
	away bool
	data Copy
	// changed is closed at the next change.
	changed chan struct{}
	calls   map[string]int
}

// NewStore returns an empty store.
func NewStore(rec *Record) *Store {
	return &Store{Record: rec, era: 1, changed: make(chan struct{}), calls: map[string]int{}, data: Copy{revision: 10, objects: map[string]map[string]object{}}}
}

// Put creates or replaces an object as the operator or a server does. It returns the revision
// of the acknowledged write.
func (sto *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj := sto.data.objects[kind][name]
	if obj.Meta.Name != "" && string(obj.Spec) == string(raw) {
		return obj.Meta.Revision
	}
	obj.Meta.Name, obj.Spec = name, raw
	return sto.write(kind, obj)
}

// Delete removes an object.
func (sto *Store) Delete(kind, name string) uint64 {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj, ok := sto.data.objects[kind][name]
	if !ok {
		return sto.data.revision
	}
	delete(sto.data.objects[kind], name)
	sto.data.revision++
	obj.Meta.Revision = sto.data.revision
	sto.append(change{kind: kind, object: obj, deleted: true})
	return sto.data.revision
}

// write stores an object under the next revision. The mutex must be held.
func (sto *Store) write(kind string, obj object) uint64 {
	sto.data.revision++
	obj.Meta.Revision = sto.data.revision
	if obj.Meta.CreatedRev == 0 {
		obj.Meta.CreatedRev = sto.data.revision
	}
	if obj.Meta.Finalizers == nil {
		obj.Meta.Finalizers = []string{}
	}
	if sto.data.objects[kind] == nil {
		sto.data.objects[kind] = map[string]object{}
	}
	sto.data.objects[kind][obj.Meta.Name] = obj
	sto.append(change{kind: kind, object: obj})
	return sto.data.revision
}

func (sto *Store) append(cha change) {
	sto.data.history = append(sto.data.history, cha)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// Copy returns a copy of what the store holds.
func (sto *Store) Copy() Copy {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	out := Copy{revision: sto.data.revision, objects: map[string]map[string]object{}, history: slices.Clone(sto.data.history)}
	for kind, objs := range sto.data.objects {
		out.objects[kind] = maps.Clone(objs)
	}
	return out
}

// SetAway makes the store refuse all calls, or serve them again.
func (sto *Store) SetAway(away bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.away = away
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// Restore makes the store come back from a copy, as the next era.
func (sto *Store) Restore(cop Copy) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.data = cop
	sto.era++
	sto.away = false
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// Revision returns the store's revision.
func (sto *Store) Revision() uint64 {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.data.revision
}

// Names returns the names of the objects of a kind.
func (sto *Store) Names(kind string) []string {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return slices.Sorted(maps.Keys(sto.data.objects[kind]))
}

// Calls returns the number of calls so far.
func (sto *Store) Calls() map[string]int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return maps.Clone(sto.calls)
}

// ServeHTTP answers a call.
func (sto *Store) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	sto.mu.Lock()
	wri.Header().Set("Store-Era", strconv.Itoa(sto.era))
	away := sto.away
	kind, name, _ := strings.Cut(strings.TrimPrefix(htr.URL.Path, "/v1/objects/"), "/")
	sto.calls[htr.Method+" "+kind]++
	sto.mu.Unlock()
	if away {
		answer(wri, http.StatusServiceUnavailable, map[string]any{"error": "away"})
		return
	}
	name = strings.TrimSuffix(name, "/status")
	switch {
	case htr.Method == http.MethodGet && htr.URL.Query().Has("watch"):
		sto.watch(wri, htr, kind)
	case htr.Method == http.MethodGet && name != "":
		sto.get(wri, kind, name)
	case htr.Method == http.MethodGet:
		sto.list(wri, htr, kind)
	default:
		sto.change(wri, htr, kind, name)
	}
}

func answer(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(body)
}

func (sto *Store) get(wri http.ResponseWriter, kind, name string) {
	sto.mu.Lock()
	obj, ok := sto.data.objects[kind][name]
	sto.mu.Unlock()
	if !ok {
		answer(wri, http.StatusNotFound, map[string]any{})
		return
	}
	answer(wri, http.StatusOK, obj)
}

func (sto *Store) list(wri http.ResponseWriter, htr *http.Request, kind string) {
	const page = 500
	sto.mu.Lock()
	items, more := []object{}, false
	for _, name := range slices.Sorted(maps.Keys(sto.data.objects[kind])) {
		if name <= htr.URL.Query().Get("after") {
			continue
		}
		if more = len(items) == page; more {
			break
		}
		items = append(items, sto.data.objects[kind][name])
	}
	revision := sto.data.revision
	sto.mu.Unlock()
	answer(wri, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

// watch answers with the changes of a kind after a revision, as soon as there is one.
func (sto *Store) watch(wri http.ResponseWriter, htr *http.Request, kind string) {
	after, err := strconv.ParseUint(htr.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		answer(wri, http.StatusBadRequest, map[string]any{})
		return
	}
	wait, _ := strconv.Atoi(htr.URL.Query().Get("waitMs"))
	ctx, stop := context.WithTimeout(htr.Context(), time.Duration(wait)*time.Millisecond)
	defer stop()
	for {
		sto.mu.Lock()
		away, revision, changed := sto.away, sto.data.revision, sto.changed
		events := []map[string]any{}
		for _, cha := range sto.data.history {
			if cha.kind == kind && cha.object.Meta.Revision > after {
				events = append(events, map[string]any{"object": cha.object, "deleted": cha.deleted})
			}
		}
		sto.mu.Unlock()
		switch {
		case away:
			answer(wri, http.StatusServiceUnavailable, map[string]any{"error": "away"})
			return
		case after > revision:
			answer(wri, http.StatusGone, map[string]any{})
			return
		case len(events) > 0 || ctx.Err() != nil:
			answer(wri, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// change creates, replaces or deletes an object for a daemon.
func (sto *Store) change(wri http.ResponseWriter, htr *http.Request, kind, name string) {
	var sent object
	body, err := io.ReadAll(htr.Body)
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &sent)
	}
	if err != nil {
		answer(wri, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	if htr.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	sto.mu.Lock()
	old, found := sto.data.objects[kind][name]
	sto.mu.Unlock()
	stale := found && sent.Meta.Revision != 0 && sent.Meta.Revision != old.Meta.Revision
	switch {
	case htr.Method == http.MethodPost && found, stale:
		answer(wri, http.StatusConflict, old)
	case htr.Method != http.MethodPost && !found:
		answer(wri, http.StatusNotFound, map[string]any{})
	case htr.Method == http.MethodDelete:
		sto.Delete(kind, name)
		sto.Record.Line("store", fmt.Sprintf("a daemon deleted %s/%s", kind, name))
		answer(wri, http.StatusOK, old)
	default:
		revision := sto.Put(kind, name, sent.Spec)
		sto.Record.Line("store", fmt.Sprintf("a daemon wrote %s/%s, revision %d", kind, name, revision))
		sto.get(wri, kind, name)
	}
}
