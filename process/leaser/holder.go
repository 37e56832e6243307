package leaser

import (
	"context"
	"encoding/json"
	"time"

	"hemlockpin/connection/persister"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// storeTimeout bounds one call to the store.
const storeTimeout = 2 * time.Second

// ObjectStore is the part of the platform's object API that leases use.
type ObjectStore interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
}

// Holder acquires and holds one lease. It is not safe for concurrent use.
type Holder struct {
	Store ObjectStore
	// Name is the name of the lease; its object is leases/{Name}.
	Name string
	Host string
	// Clock returns the present time; the system's clock is used if it is nil.
	Clock func() time.Time

	state State
}

func (hol *Holder) now() time.Time {
	if hol.Clock == nil {
		return time.Now()
	}
	return hol.Clock()
}

// Acquire waits until the lease is held or, if it is held already, extends it once half
// of its term has passed. The fencing number in Held differs from the previous one if
// the lease ended in between. Acquire fails if ctx ends before the lease is held.
func (hol *Holder) Acquire(ctx context.Context) (Held, error) {
	if hol.state.Nonce == "" {
		hol.state = State{Host: hol.Host, Nonce: uuid.NewString()}
	}
	var eve Event = AcquireRequested{}
	for {
		sta, act := hol.state.Next(eve, hol.now())
		hol.state = sta
		if ctx.Err() != nil {
			return Held{}, eris.Wrapf(ctx.Err(), "Holder.Acquire: lease %s held by %s", hol.Name, sta.lease.Host)
		}
		switch act := act.(type) {
		case Held:
			return act, nil
		case Load:
			eve = hol.load(ctx, act)
		case Store:
			eve = hol.store(ctx, act)
		default:
			return Held{}, eris.Errorf("Holder.Acquire: lease %s: unexpected action %T", hol.Name, act)
		}
	}
}

// Release releases the lease with one write. If the write fails, other hosts can
// acquire the lease once its object has not changed for Term and Margin.
func (hol *Holder) Release(ctx context.Context) {
	sta, act := hol.state.Next(ReleaseRequested{}, hol.now())
	hol.state = sta
	if sto, ok := act.(Store); ok {
		hol.store(ctx, sto)
	}
}

func (hol *Holder) path() string { return "leases/" + hol.Name }

func (hol *Holder) load(ctx context.Context, loa Load) Event {
	select {
	case <-time.After(loa.At.Sub(hol.now())):
	case <-ctx.Done():
		return LoadFailed{ctx.Err().Error()}
	}
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	obj, err := hol.Store.Get(ctx, hol.path())
	if eris.Is(err, persister.ErrNotFound) {
		return Loaded{}
	}
	var lea Lease
	if err == nil {
		err = json.Unmarshal(obj.Value, &lea)
	}
	if err != nil {
		return LoadFailed{err.Error()}
	}
	return Loaded{Lease: lea, Version: obj.Version}
}

func (hol *Holder) store(ctx context.Context, sto Store) Event {
	value, err := json.Marshal(sto.Lease)
	if err != nil {
		return WriteUnknown{err.Error()}
	}
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	version, err := hol.Store.Put(ctx, persister.Object{Path: hol.path(), Version: sto.Version, Value: value})
	switch {
	case err == nil:
		return Stored{version}
	case eris.Is(err, persister.ErrConflict):
		return Conflicted{}
	default:
		// Whatever the error, the next read shows whether the write took effect.
		return WriteUnknown{err.Error()}
	}
}
