package publisher

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// fault is what a test injects into one call of the store.
type fault string

const (
	faultNone          fault = "none"
	faultRefused       fault = "refuse"  // not applied, answered with an error
	faultAnswerLost    fault = "lose"    // applied, answer lost
	faultAppliedLate   fault = "late"    // answer lost, applied a second later
	faultOutage        fault = "outage"  // this and all later calls are refused
	faultHang          fault = "hang"    // not applied, never answered
	faultNoAnswer      fault = "swallow" // applied, never answered
	faultForeignBefore fault = "foreign" // another edit is accepted first
	faultForeignAfter  fault = "ontop"   // another edit is accepted right after
	faultLagging       fault = "lagging" // a read returns the previous version
)

var faults = []fault{faultRefused, faultAnswerLost, faultAppliedLate, faultOutage, faultHang, faultNoAnswer, faultForeignBefore, faultForeignAfter, faultLagging}

var errLost = eris.New("connection lost")

// fakeStore is a store in memory with faults that a test chooses.
type fakeStore struct {
	// choose returns the fault of a call; call is its name, such as "Read" and the path.
	choose func(call string) fault
	delay  func() time.Duration

	mu       sync.Mutex
	version  uint64
	objects  map[string]persister.Object
	previous persister.Object
	// accepted holds the edits that the store has accepted, in order.
	accepted []parser.Edit
	down     bool
}

func (sto *fakeStore) begin(call string) fault {
	if sto.delay != nil {
		time.Sleep(sto.delay())
	}
	fau := faultNone
	if sto.choose != nil {
		fau = sto.choose(call)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.down = sto.down || fau == faultOutage
	if sto.down {
		return faultRefused
	}
	if fau == faultForeignBefore {
		sto.acceptForeign()
	}
	return fau
}

// acceptForeign accepts an edit of another operator.
func (sto *fakeStore) acceptForeign() {
	current, _ := parser.Parse(sto.objects[TablesPath].Value)
	next := current.WithEdit(current, parser.Edit{Revision: current.Revision + 1, Nonce: "foreign"})
	doc, _ := next.Encode()
	_ = sto.apply(persister.Object{Path: TablesPath, Version: sto.objects[TablesPath].Version, Value: doc})
}

func (sto *fakeStore) apply(obj persister.Object) error {
	old := sto.objects[obj.Path]
	if old.Version != obj.Version {
		return persister.ErrConflict
	}
	if obj.Path == TablesPath {
		tab, err := parser.Parse(obj.Value)
		if err != nil {
			return err
		}
		sto.accepted = append(sto.accepted, parser.Edit{Revision: tab.Revision, Nonce: tab.Nonce})
		sto.previous = old
	}
	sto.version++
	obj.Version = sto.version
	if sto.objects == nil {
		sto.objects = map[string]persister.Object{}
	}
	sto.objects[obj.Path] = obj
	return nil
}

func (sto *fakeStore) Get(ctx context.Context, path string) (persister.Object, error) {
	fau := sto.begin("Read " + path)
	switch fau {
	case faultRefused:
		return persister.Object{}, persister.ErrUnavailable
	case faultAnswerLost, faultAppliedLate:
		return persister.Object{}, errLost
	case faultHang, faultNoAnswer:
		<-ctx.Done()
		return persister.Object{}, ctx.Err()
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj, ok := sto.objects[path]
	if fau == faultLagging && path == TablesPath {
		obj, ok = sto.previous, sto.previous.Version > 0
	}
	if fau == faultForeignAfter {
		sto.acceptForeign()
	}
	if !ok {
		return obj, persister.ErrNotFound
	}
	return obj, nil
}

func (sto *fakeStore) Put(ctx context.Context, obj persister.Object) (uint64, error) {
	fau := sto.begin("Write " + obj.Path)
	sto.mu.Lock()
	defer sto.mu.Unlock()
	switch fau {
	case faultRefused:
		return 0, persister.ErrUnavailable
	case faultHang:
		return 0, sto.wait(ctx)
	case faultAppliedLate:
		time.AfterFunc(time.Second, func() {
			sto.mu.Lock()
			defer sto.mu.Unlock()
			_ = sto.apply(obj)
		})
		return 0, errLost
	}
	err := sto.apply(obj)
	version := sto.version
	switch fau {
	case faultAnswerLost:
		return 0, errLost
	case faultNoAnswer:
		return 0, sto.wait(ctx)
	case faultForeignAfter:
		sto.acceptForeign()
	}
	return version, err
}

// wait releases sto.mu until ctx ends.
func (sto *fakeStore) wait(ctx context.Context) error {
	sto.mu.Unlock()
	<-ctx.Done()
	sto.mu.Lock()
	return ctx.Err()
}

func (sto *fakeStore) Delete(_ context.Context, path string, version uint64) error {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.objects[path].Version == version {
		delete(sto.objects, path)
	}
	return nil
}

func (sto *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]persister.Object, error) {
	if fau := sto.begin("Watch " + prefix); fau == faultRefused {
		return nil, persister.ErrUnavailable
	}
	end := time.Now().Add(wait)
	for {
		sto.mu.Lock()
		var out []persister.Object
		for _, obj := range sto.objects {
			if strings.HasPrefix(obj.Path, prefix) && obj.Version > after {
				out = append(out, obj)
			}
		}
		sto.mu.Unlock()
		if len(out) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return out, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func randomDelay(ran *rand.Rand) func() time.Duration {
	var mu sync.Mutex
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(ran.Int64N(int64(50 * time.Millisecond)))
	}
}
