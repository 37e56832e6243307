package publisher

import (
	"context"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/version/parser"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const (
	// editTimeout bounds an edit, including the read that determines whether its write took
	// effect.
	editTimeout = 5 * time.Second
	// storeCallTimeout bounds one call to the store. It leaves time for the read after a
	// write whose result is unknown.
	storeCallTimeout = 1500 * time.Millisecond
	broadcastTimeout = 2 * time.Second
	readBackPause    = 100 * time.Millisecond
	pruneTimeout     = 2 * time.Second
)

// Errors of an edit.
var (
	// ErrRaced means that another edit was accepted first.
	ErrRaced = eris.New("publisher: the tables have another revision")
	// ErrUnknown means that the publisher could not determine whether the edit was accepted.
	ErrUnknown = eris.New("publisher: it is unknown whether the edit was accepted")
)

// Edit replaces the tables if their revision is still base. Any error except ErrUnknown
// means that the edit changed nothing.
func (pub *Publisher) Edit(ctx context.Context, tab parser.Tables, base uint64, now time.Time) (Finish, error) {
	// An accepted edit must reach the peers even if the operator disconnects.
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), editTimeout)
	defer stop()
	sta := EditState{
		Content: tab,
		Edit:    parser.Edit{Revision: base + 1, Nonce: uuid.Must(uuid.NewV7()).String(), At: now.UTC().Truncate(time.Millisecond)},
		Known:   pub.Current().Tables(),
	}
	sta, act := sta.Next(Begun{})
	for {
		if fin, ok := act.(Finish); ok {
			return fin, fin.failure(base)
		}
		sta, act = sta.Next(pub.perform(ctx, act))
	}
}

func (fin Finish) failure(base uint64) error {
	switch fin.Result {
	case Accepted:
		return nil
	case Raced:
		return eris.Wrapf(ErrRaced, "Publisher.Edit: base %d, current %d", base, fin.Tables.Revision)
	case Unknown:
		return eris.Wrapf(ErrUnknown, "Publisher.Edit: base %d", base)
	default:
		return eris.Wrapf(fin.Err, "Publisher.Edit: base %d, nothing was changed", base)
	}
}

func (pub *Publisher) perform(ctx context.Context, act EditAction) EditEvent {
	switch act := act.(type) {
	case ReadAgain:
		return pub.readAgain(ctx)
	case WriteHistory:
		writeCtx, stop := context.WithTimeout(ctx, storeCallTimeout)
		defer stop()
		return orTimedOut(ctx, HistoryWritten{pub.writeHistory(writeCtx, act.Tables)})
	case WriteStore:
		return orTimedOut(ctx, StoreWritten{pub.write(ctx, act)})
	case BroadcastTables:
		return pub.broadcast(ctx, act.Tables)
	default:
		return orTimedOut(ctx, pub.read(ctx))
	}
}

// orTimedOut returns TimedOut in place of a failure after the context has ended.
func orTimedOut(ctx context.Context, eve EditEvent) EditEvent {
	if ctx.Err() == nil {
		return eve
	}
	switch typed := eve.(type) {
	case StoreRead:
		if typed.Err == nil {
			return eve
		}
	case HistoryWritten:
		if typed.Err == nil {
			return eve
		}
	case StoreWritten:
		if typed.Err == nil {
			return eve
		}
	}
	return TimedOut{}
}

func (pub *Publisher) read(ctx context.Context) StoreRead {
	ctx, stop := context.WithTimeout(ctx, storeCallTimeout)
	defer stop()
	obj, err := pub.Store.Get(ctx, TablesPath)
	if eris.Is(err, persister.ErrNotFound) {
		return StoreRead{}
	}
	if err != nil {
		return StoreRead{Err: err}
	}
	tab, err := parser.Parse(obj.Value)
	return StoreRead{Tables: tab, Version: obj.Version, Err: err}
}

func (pub *Publisher) readAgain(ctx context.Context) EditEvent {
	select {
	case <-ctx.Done():
		return TimedOut{}
	case <-time.After(readBackPause):
		return orTimedOut(ctx, pub.read(ctx))
	}
}

func (pub *Publisher) write(ctx context.Context, act WriteStore) error {
	doc, err := act.Tables.Encode()
	if err != nil {
		return eris.Wrapf(persister.ErrTooLarge, "Publisher.write: %v", err)
	}
	if len(doc) > parser.MaxDocumentBytes {
		return eris.Wrapf(persister.ErrTooLarge, "Publisher.write: document has %d bytes", len(doc))
	}
	ctx, stop := context.WithTimeout(ctx, storeCallTimeout)
	defer stop()
	version, err := pub.Store.Put(ctx, persister.Object{Path: TablesPath, Version: act.Version, Value: doc})
	if err == nil {
		pub.recordVersion(objectVersion{version, act.Tables.Revision})
	}
	return err
}

func (pub *Publisher) broadcast(ctx context.Context, tab parser.Tables) EditEvent {
	_, _ = pub.Adopt(tab)
	pub.ConfirmRevision(tab.Revision, time.Now())
	go pub.prune(tab.Revision)
	if pub.Broadcast == nil {
		return BroadcastDone{}
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	defer stop()
	offered, adopted := pub.Broadcast(ctx)
	return BroadcastDone{Offered: offered, Adopted: adopted}
}
