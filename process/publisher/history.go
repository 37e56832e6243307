package publisher

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"

	"hemlockpin/connection/persister"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// History lists the accepted edits.
type History struct {
	// Newest is the revision in force.
	Newest uint64
	// Oldest is the oldest revision that can be read.
	Oldest uint64
	// Edits are the last ones, the newest first.
	Edits []parser.Edit
}

// History returns the accepted edits as of the tables in force.
func (pub *Publisher) History() History {
	tab := pub.Current().Tables()
	his := History{Newest: tab.Revision, Oldest: min(1, tab.Revision), Edits: []parser.Edit{}}
	if tab.Revision > HistoryLength {
		his.Oldest = tab.Revision - HistoryLength
	}
	for ind := len(tab.Recent) - 1; ind >= 0; ind-- {
		his.Edits = append(his.Edits, tab.Recent[ind])
	}
	return his
}

// ReadRevision reads an accepted revision.
func (pub *Publisher) ReadRevision(ctx context.Context, revision uint64) (parser.Tables, error) {
	if tab := pub.Current().Tables(); tab.Revision == revision {
		return tab, nil
	}
	obj, err := pub.Store.Get(ctx, pathOf(revision))
	if err != nil {
		return parser.Tables{}, err
	}
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(obj.Value)), parser.MaxDocumentBytes+1))
	if err != nil {
		return parser.Tables{}, eris.Wrapf(err, "Publisher.Past: expand object %s", obj.Path)
	}
	return parser.Parse(doc)
}

func pathOf(revision uint64) string { return fmt.Sprintf("%s%012d", historyPath, revision) }

// keep writes a revision to the history. That it stands there already is no
// error, for a revision never changes.
func (pub *Publisher) keep(ctx context.Context, tab parser.Tables) error {
	doc, err := tab.Encode()
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	wri, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_, _ = wri.Write(doc)
	_ = wri.Close()
	obj := persister.Object{Path: pathOf(tab.Revision), Value: buf.Bytes()}
	_, err = pub.Store.Put(ctx, obj)
	if err == nil || eris.Is(err, persister.ErrConflict) {
		return nil
	}
	// The write may have taken effect although its answer was lost.
	if _, get := pub.Store.Get(ctx, obj.Path); get == nil {
		return nil
	}
	return eris.Wrap(err, "Publisher.keep")
}

// prune removes the revision that falls out of the history.
func (pub *Publisher) prune(revision uint64) {
	if revision <= HistoryLength+1 {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), pruneTimeout)
	defer stop()
	obj, err := pub.Store.Get(ctx, pathOf(revision-HistoryLength-1))
	if err == nil {
		_ = pub.Store.Delete(ctx, obj.Path, obj.Version)
	}
}
