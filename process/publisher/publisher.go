// Package publisher holds the tables in force on a host, accepts edits through
// the platform's store and spreads accepted revisions between hosts.
package publisher

import (
	"context"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// TablesPath is the object that holds the tables.
const TablesPath = "tables/current"

const (
	readBackTimeout = 2 * time.Second
	readBackPause   = 100 * time.Millisecond
)

// Errors of an edit.
var (
	// ErrRaced means that another edit was accepted first.
	ErrRaced = eris.New("publisher: the tables have another revision")
	// ErrUnknown means that it could not be found out whether the edit was accepted.
	ErrUnknown = eris.New("publisher: it is unknown whether the edit was accepted")
)

// Store is the part of the platform that the publisher needs.
type Store interface {
	Get(ctx context.Context, path string) (persister.Object, error)
	Put(ctx context.Context, obj persister.Object) (uint64, error)
}

// Publisher holds the tables in force. It needs a Store.
type Publisher struct {
	Store Store
	// Push spreads an accepted revision to the peers; nil for none.
	Push func(*messenger.TablesPush)

	current   atomic.Pointer[matcher.Matcher]
	confirmed atomic.Int64
}

// Current returns the tables in force. It is never nil.
func (pub *Publisher) Current() *matcher.Matcher {
	if mat := pub.current.Load(); mat != nil {
		return mat
	}
	return matcher.New(parser.Tables{})
}

// Confirmed returns when the store or a peer last confirmed the tables.
func (pub *Publisher) Confirmed() time.Time { return time.UnixMilli(pub.confirmed.Load()) }

// Confirm notes that a source confirmed that no newer revision is known to it.
func (pub *Publisher) Confirm(now time.Time) { pub.confirmed.Store(now.UnixMilli()) }

// Accept puts tables in force if their revision is newer. It never goes back.
func (pub *Publisher) Accept(tab parser.Tables) bool {
	mat := matcher.New(tab)
	for {
		old := pub.current.Load()
		if old != nil && old.Revision() >= tab.Revision {
			return false
		}
		if pub.current.CompareAndSwap(old, mat) {
			return true
		}
	}
}

// Refresh reads the store.
func (pub *Publisher) Refresh(ctx context.Context, now time.Time) error {
	obj, err := pub.Store.Get(ctx, TablesPath)
	if eris.Is(err, persister.ErrNotFound) {
		pub.Confirm(now)
		return nil
	}
	if err != nil {
		return err
	}
	tab, err := parser.Parse(obj.Value)
	if err != nil {
		return eris.Wrapf(err, "Publisher.Refresh: object %s version %d", TablesPath, obj.Version)
	}
	pub.Accept(tab)
	pub.Confirm(now)
	return nil
}

// Edit replaces the tables if their revision is still base.
func (pub *Publisher) Edit(ctx context.Context, tab parser.Tables, base uint64) (parser.Tables, error) {
	obj, cur, err := pub.read(ctx)
	if err != nil {
		return parser.Tables{}, err
	}
	if cur.Revision != base {
		return cur, eris.Wrapf(ErrRaced, "Publisher.Edit: base %d, current %d", base, cur.Revision)
	}
	tab = tab.WithRevision(base+1, uuid.Must(uuid.NewV7()).String())
	obj.Value, err = tab.Encode()
	if err != nil {
		return cur, err
	}
	_, err = pub.Store.Put(ctx, obj)
	if err == nil {
		return tab, pub.publish(tab)
	}
	if eris.Is(err, persister.ErrTooLarge) || eris.Is(err, persister.ErrRateLimited) {
		return cur, err
	}
	return pub.readBack(ctx, tab)
}

func (pub *Publisher) read(ctx context.Context) (persister.Object, parser.Tables, error) {
	obj, err := pub.Store.Get(ctx, TablesPath)
	if eris.Is(err, persister.ErrNotFound) {
		return persister.Object{Path: TablesPath}, parser.Tables{}, nil
	}
	if err != nil {
		return obj, parser.Tables{}, err
	}
	tab, err := parser.Parse(obj.Value)
	return obj, tab, err
}

func (pub *Publisher) publish(tab parser.Tables) error {
	pub.Accept(tab)
	doc, err := tab.Encode()
	if err != nil {
		return err
	}
	if pub.Push != nil {
		pub.Push(&messenger.TablesPush{Revision: tab.Revision, Document: doc})
	}
	return nil
}

// readBack finds out whether a write with a lost answer took effect.
func (pub *Publisher) readBack(ctx context.Context, tab parser.Tables) (parser.Tables, error) {
	ctx, stop := context.WithTimeout(ctx, readBackTimeout)
	defer stop()
	for {
		_, cur, err := pub.read(ctx)
		switch {
		case err == nil && cur.Nonce == tab.Nonce:
			return tab, pub.publish(tab)
		case err == nil && cur.Revision >= tab.Revision:
			return cur, eris.Wrapf(ErrRaced, "Publisher.Edit: base %d, current %d", tab.Revision-1, cur.Revision)
		}
		select {
		case <-ctx.Done():
			return cur, ErrUnknown
		case <-time.After(readBackPause):
		}
	}
}

// Receive takes a revision that a peer offers.
func (pub *Publisher) Receive(pus *messenger.TablesPush) error {
	if pus.GetRevision() <= pub.Current().Revision() {
		return nil
	}
	tab, err := parser.Parse(pus.GetDocument())
	if err != nil {
		return eris.Wrap(err, "Publisher.Receive")
	}
	pub.Accept(tab)
	return nil
}

// Offer builds the message that brings a peer to the tables in force.
func (pub *Publisher) Offer() (*messenger.TablesPush, error) {
	tab := pub.Current().Tables()
	doc, err := tab.Encode()
	return &messenger.TablesPush{Revision: tab.Revision, Document: doc}, err
}
