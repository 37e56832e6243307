package standins

import (
	"encoding/json"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   objectMeta      `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
}

// Store is a stand-in for the platform's store. Each host reaches it at an address of its own.
type Store struct {
	srv *http.Server
	mu  sync.Mutex
	// watched holds the time of the last watch at each address.
	watched  map[string]time.Time
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	sto := &Store{revision: 1, watched: map[string]time.Time{}, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	sto.srv = &http.Server{Handler: sto}
	return sto
}

// Listen serves at a free port of a loopback address, which it returns.
func (sto *Store) Listen(ip string) (string, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = sto.srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// WatchedSince reports whether a watch has begun at an address since a time.
func (sto *Store) WatchedSince(address string, since time.Time) bool {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.watched[address].After(since)
}

// Close ends the store.
func (sto *Store) Close() error { return sto.srv.Close() }

// Put writes an object, as the operator or a server does, and returns the time of the ack.
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

func (sto *Store) put(kind, name string, spec json.RawMessage) object {
	sto.revision++
	obj, exists := sto.objects[kind][name]
	if !exists {
		obj = object{Meta: objectMeta{Name: name, CreatedRev: sto.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	obj.Meta.Revision, obj.Spec = sto.revision, spec
	if sto.objects[kind] == nil {
		sto.objects[kind] = map[string]object{}
	}
	sto.objects[kind][name] = obj
	sto.publish(event{Object: obj, kind: kind})
	return obj
}

// Remove removes objects of a kind at once and returns the time of the ack.
func (sto *Store) Remove(kind string, names ...string) time.Time {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for _, name := range names {
		obj, exists := sto.objects[kind][name]
		if !exists {
			continue
		}
		delete(sto.objects[kind], name)
		sto.revision++
		obj.Meta.Revision = sto.revision
		sto.publish(event{Object: obj, Deleted: true, kind: kind})
	}
	return time.Now()
}

// publish must be called with mu held.
func (sto *Store) publish(eve event) {
	sto.events = append(sto.events, eve)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// ServeHTTP answers reads, watches and writes of the system.
func (sto *Store) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	words := strings.Split(strings.TrimPrefix(htr.URL.Path, "/v1/objects/"), "/")
	switch {
	case htr.Method == http.MethodGet && len(words) == 1 && htr.URL.Query().Has("watch"):
		sto.watch(wri, htr, words[0])
	case htr.Method == http.MethodGet && len(words) == 1:
		sto.list(wri, words[0])
	case htr.Method == http.MethodPost && len(words) == 1:
		sto.create(wri, htr, words[0])
	case htr.Method == http.MethodDelete && len(words) == 2:
		sto.Remove(words[0], path.Base(words[1]))
		wri.WriteHeader(http.StatusOK)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

func (sto *Store) list(wri http.ResponseWriter, kind string) {
	sto.mu.Lock()
	items := make([]object, 0, len(sto.objects[kind]))
	for _, obj := range sto.objects[kind] {
		items = append(items, obj)
	}
	revision := sto.revision
	sto.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	writeJSON(wri, http.StatusOK, struct {
		Items    []object `json:"items"`
		More     bool     `json:"hasMore"`
		Revision uint64   `json:"storeRevision"`
	}{items, false, revision})
}

func (sto *Store) watch(wri http.ResponseWriter, htr *http.Request, kind string) {
	after, _ := strconv.ParseUint(htr.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(htr.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	if address, ok := htr.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		sto.mu.Lock()
		sto.watched[address.String()] = time.Now()
		sto.mu.Unlock()
	}
	for ended := false; ; {
		sto.mu.Lock()
		found := []event{}
		for _, eve := range sto.events {
			if eve.kind == kind && eve.Object.Meta.Revision > after {
				found = append(found, eve)
			}
		}
		revision, changed := sto.revision, sto.changed
		sto.mu.Unlock()
		if len(found) > 0 || ended {
			writeJSON(wri, http.StatusOK, struct {
				Events   []event `json:"events"`
				Revision uint64  `json:"storeRevision"`
			}{found, revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-htr.Context().Done():
			return
		}
	}
}

func (sto *Store) create(wri http.ResponseWriter, htr *http.Request, kind string) {
	var obj object
	if err := json.NewDecoder(htr.Body).Decode(&obj); err != nil || obj.Meta.Name == "" {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	old, exists := sto.objects[kind][obj.Meta.Name]
	if !exists {
		obj = sto.put(kind, obj.Meta.Name, obj.Spec)
	}
	sto.mu.Unlock()
	if exists {
		writeJSON(wri, http.StatusConflict, old)
		return
	}
	writeJSON(wri, http.StatusOK, obj)
}

func writeJSON(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(body)
}
