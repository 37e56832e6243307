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
	// editTimeout bounds an edit up to the end of its reading back.
	editTimeout = 5 * time.Second
	// stepTimeout bounds one call of the store, so that time is left to read back.
	stepTimeout   = 1500 * time.Millisecond
	spreadTimeout = 2 * time.Second
	readBackPause = 100 * time.Millisecond
	pruneTimeout  = 2 * time.Second
)

// Errors of an edit.
var (
	// ErrRaced means that another edit was accepted first.
	ErrRaced = eris.New("publisher: the tables have another revision")
	// ErrUnknown means that it could not be found out whether the edit was accepted.
	ErrUnknown = eris.New("publisher: it is unknown whether the edit was accepted")
)

// Edit replaces the tables if their revision is still base. The error of an
// edit that changed nothing is neither nil nor ErrUnknown.
func (pub *Publisher) Edit(ctx context.Context, tab parser.Tables, base uint64, now time.Time) (Finish, error) {
	// The operator going away must not leave an accepted edit unspread.
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), editTimeout)
	defer stop()
	sta := EditState{
		Document: tab,
		Edit:     parser.Edit{Revision: base + 1, Nonce: uuid.Must(uuid.NewV7()).String(), At: now.UTC().Truncate(time.Millisecond)},
		Known:    pub.Current().Tables(),
	}
	sta, act := sta.Next(Begun{})
	for {
		if fin, ok := act.(Finish); ok {
			return fin, fin.failure(base)
		}
		sta, act = sta.Next(pub.carryOut(ctx, act))
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

func (pub *Publisher) carryOut(ctx context.Context, act EditAction) EditEvent {
	switch act := act.(type) {
	case ReadAgain:
		return pub.readAgain(ctx)
	case WriteHistory:
		one, stop := context.WithTimeout(ctx, stepTimeout)
		defer stop()
		return ended(ctx, HistoryWritten{pub.keep(one, act.Tables)})
	case WriteStore:
		return ended(ctx, Wrote{pub.write(ctx, act)})
	case BroadcastTables:
		return pub.spread(ctx, act.Tables)
	default:
		return ended(ctx, pub.read(ctx))
	}
}

// ended replaces a failure that is due to the end of the time.
func ended(ctx context.Context, eve EditEvent) EditEvent {
	if ctx.Err() == nil {
		return eve
	}
	switch one := eve.(type) {
	case Read:
		if one.Err == nil {
			return eve
		}
	case HistoryWritten:
		if one.Err == nil {
			return eve
		}
	case Wrote:
		if one.Err == nil {
			return eve
		}
	}
	return TimedOut{}
}

func (pub *Publisher) read(ctx context.Context) Read {
	ctx, stop := context.WithTimeout(ctx, stepTimeout)
	defer stop()
	obj, err := pub.Store.Get(ctx, TablesPath)
	if eris.Is(err, persister.ErrNotFound) {
		return Read{}
	}
	if err != nil {
		return Read{Err: err}
	}
	tab, err := parser.Parse(obj.Value)
	return Read{Tables: tab, Version: obj.Version, Err: err}
}

func (pub *Publisher) readAgain(ctx context.Context) EditEvent {
	select {
	case <-ctx.Done():
		return TimedOut{}
	case <-time.After(readBackPause):
		return ended(ctx, pub.read(ctx))
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
	ctx, stop := context.WithTimeout(ctx, stepTimeout)
	defer stop()
	ver, err := pub.Store.Put(ctx, persister.Object{Path: TablesPath, Version: act.Version, Value: doc})
	if err == nil {
		pub.see(stored{ver, act.Tables.Revision})
	}
	return err
}

func (pub *Publisher) spread(ctx context.Context, tab parser.Tables) EditEvent {
	_, _ = pub.Accept(tab)
	pub.ConfirmRevision(tab.Revision, time.Now())
	go pub.prune(tab.Revision)
	if pub.Broadcast == nil {
		return BroadcastDone{}
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	defer stop()
	ask, con := pub.Broadcast(ctx)
	return BroadcastDone{Asked: ask, Confirmed: con}
}
