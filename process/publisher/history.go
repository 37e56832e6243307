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

// History lists the latest accepted edits.
type History struct {
	// Newest is the revision in force.
	Newest uint64
	// Oldest is the oldest revision that can still be read.
	Oldest uint64
	// Edits are the latest edits, newest first.
	Edits []parser.Edit
}

// History returns the accepted edits recorded in the tables in force.
func (pub *Publisher) History() History {
	tab := pub.Current().Tables()
	his := History{Newest: tab.Revision, Oldest: min(1, tab.Revision), Edits: []parser.Edit{}}
	if tab.Revision > HistoryLength {
		his.Oldest = tab.Revision - HistoryLength
	}
	for i := len(tab.Recent) - 1; i >= 0; i-- {
		his.Edits = append(his.Edits, tab.Recent[i])
	}
	return his
}

// ReadRevision returns the tables of an accepted revision.
func (pub *Publisher) ReadRevision(ctx context.Context, revision uint64) (parser.Tables, error) {
	if tab := pub.Current().Tables(); tab.Revision == revision {
		return tab, nil
	}
	obj, err := pub.Store.Get(ctx, historyPathOf(revision))
	if err != nil {
		return parser.Tables{}, err
	}
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(obj.Value)), parser.MaxDocumentBytes+1))
	if err != nil {
		return parser.Tables{}, eris.Wrapf(err, "Publisher.Past: expand object %s", obj.Path)
	}
	return parser.Parse(doc)
}

func historyPathOf(revision uint64) string { return fmt.Sprintf("%s%012d", historyPath, revision) }

// writeHistory writes a revision to the history. An object that already exists is
// not an error, since the content of a revision never changes.
func (pub *Publisher) writeHistory(ctx context.Context, tab parser.Tables) error {
	doc, err := tab.Encode()
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	writer, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_, _ = writer.Write(doc)
	_ = writer.Close()
	obj := persister.Object{Path: historyPathOf(tab.Revision), Value: buf.Bytes()}
	_, err = pub.Store.Put(ctx, obj)
	if err == nil || eris.Is(err, persister.ErrConflict) {
		return nil
	}
	// The write may have taken effect although the answer was lost.
	if _, readErr := pub.Store.Get(ctx, obj.Path); readErr == nil {
		return nil
	}
	return eris.Wrap(err, "Publisher.keep")
}

// prune deletes the revision that leaves the history when revision is accepted, so that
// HistoryLength past revisions remain.
func (pub *Publisher) prune(revision uint64) {
	if revision <= HistoryLength+1 {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), pruneTimeout)
	defer stop()
	obj, err := pub.Store.Get(ctx, historyPathOf(revision-HistoryLength-1))
	if err == nil {
		_ = pub.Store.Delete(ctx, obj.Path, obj.Version)
	}
}
