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

// fault is what happens to one call of the store.
type fault string

const (
	faultNone    fault = "none"
	faultRefuse  fault = "refuse"  // not applied, answered
	faultLose    fault = "lose"    // applied, answer lost
	faultLate    fault = "late"    // answer lost, applied a second later
	faultOutage  fault = "outage"  // this and all later calls are refused
	faultHang    fault = "hang"    // not applied, never answered
	faultSwallow fault = "swallow" // applied, never answered
	faultForeign fault = "foreign" // another edit is accepted before
	faultOnTop   fault = "ontop"   // another edit is accepted right after
	faultLagging fault = "lagging" // a read shows the version before
)

var faults = []fault{faultRefuse, faultLose, faultLate, faultOutage, faultHang, faultSwallow, faultForeign, faultOnTop, faultLagging}

var errLost = eris.New("connection lost")

// fakeStore is the platform's store with faults that a test chooses.
type fakeStore struct {
	// choose returns the fault of a call; step names the call.
	choose func(step string) fault
	delay  func() time.Duration

	mu      sync.Mutex
	version uint64
	objects map[string]persister.Object
	before  persister.Object
	log     []parser.Edit
	out     bool
}

func (sto *fakeStore) begin(step string) fault {
	if sto.delay != nil {
		time.Sleep(sto.delay())
	}
	fau := faultNone
	if sto.choose != nil {
		fau = sto.choose(step)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.out = sto.out || fau == faultOutage
	if sto.out {
		return faultRefuse
	}
	if fau == faultForeign {
		sto.foreign()
	}
	return fau
}

// foreign accepts an edit of another operator.
func (sto *fakeStore) foreign() {
	cur, _ := parser.Parse(sto.objects[TablesPath].Value)
	nex := cur.WithEdit(cur, parser.Edit{Revision: cur.Revision + 1, Nonce: "foreign"})
	doc, _ := nex.Encode()
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
		sto.log = append(sto.log, parser.Edit{Revision: tab.Revision, Nonce: tab.Nonce})
		sto.before = old
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
	case faultRefuse:
		return persister.Object{}, persister.ErrUnavailable
	case faultLose, faultLate:
		return persister.Object{}, errLost
	case faultHang, faultSwallow:
		<-ctx.Done()
		return persister.Object{}, ctx.Err()
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	obj, ok := sto.objects[path]
	if fau == faultLagging && path == TablesPath {
		obj, ok = sto.before, sto.before.Version > 0
	}
	if fau == faultOnTop {
		sto.foreign()
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
	case faultRefuse:
		return 0, persister.ErrUnavailable
	case faultHang:
		return 0, sto.wait(ctx)
	case faultLate:
		time.AfterFunc(time.Second, func() {
			sto.mu.Lock()
			defer sto.mu.Unlock()
			_ = sto.apply(obj)
		})
		return 0, errLost
	}
	err := sto.apply(obj)
	ver := sto.version
	switch fau {
	case faultLose:
		return 0, errLost
	case faultSwallow:
		return 0, sto.wait(ctx)
	case faultOnTop:
		sto.foreign()
	}
	return ver, err
}

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
	if fau := sto.begin("Watch " + prefix); fau == faultRefuse {
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
