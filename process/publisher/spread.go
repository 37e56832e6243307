package publisher

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"hemlockpin/connection/messenger"
	"hemlockpin/version/differ"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

const (
	// keptDeltas is the number of past revisions from which a host can build a delta.
	keptDeltas = 16
	// maxDeltaBytes bounds a delta; a larger change is sent as a full document.
	maxDeltaBytes = 32 << 10
)

// deltasTo returns the deltas that lead to ver: those of old and the one from old to
// ver. If applying that one does not reproduce the document, no deltas are kept.
func deltasTo(old, ver *version) []differ.Delta {
	if old == nil {
		return nil
	}
	base := old.matcher.Tables()
	del := differ.Diff(base, ver.matcher.Tables())
	next, err := del.Apply(base)
	if err != nil {
		return nil
	}
	doc, err := next.Encode()
	if err != nil || differ.Checksum(doc) != ver.checksum {
		return nil
	}
	return appendDelta(old.deltas, del)
}

func appendDelta(dels []differ.Delta, del differ.Delta) []differ.Delta {
	out := append(slices.Clone(dels), del)
	return out[max(0, len(out)-keptDeltas):]
}

// Offer returns the message that brings a peer from the revision have to the
// tables in force: a delta if one is available and whole is false, else the document.
func (pub *Publisher) Offer(have uint64, whole bool) *messenger.TablesPush {
	ver := pub.current.Load()
	if ver == nil {
		return &messenger.TablesPush{}
	}
	pus := &messenger.TablesPush{Revision: ver.matcher.Revision(), Checksum: ver.checksum}
	if !whole {
		if buf, ok := ver.deltaFrom(have); ok {
			pus.Delta = buf
			pus.BaseRevision = have
			return pus
		}
	}
	pus.Document = ver.compressedDocument()
	pus.Compressed = true
	return pus
}

// Announce returns the message for peers that are likely to have the revision
// before the one in force. It contains a delta if one is available, else only the revision.
func (pub *Publisher) Announce() *messenger.TablesPush {
	ver := pub.current.Load()
	if ver == nil {
		return &messenger.TablesPush{}
	}
	pus := &messenger.TablesPush{Revision: ver.matcher.Revision(), Checksum: ver.checksum}
	if len(ver.deltas) == 0 {
		return pus
	}
	base := ver.deltas[len(ver.deltas)-1].BaseRevision
	if buf, ok := ver.deltaFrom(base); ok {
		pus.Delta = buf
		pus.BaseRevision = base
	}
	return pus
}

// deltaFrom returns the joined delta from a revision, if it is available and not too large.
func (ver *version) deltaFrom(have uint64) ([]byte, bool) {
	for i, del := range ver.deltas {
		if del.BaseRevision != have {
			continue
		}
		for _, next := range ver.deltas[i+1:] {
			del = del.Compose(next)
		}
		buf, err := del.Encode()
		return buf, err == nil && len(buf) <= maxDeltaBytes
	}
	return nil, false
}

func (ver *version) compressedDocument() []byte {
	ver.once.Do(func() {
		var buf bytes.Buffer
		writer, _ := flate.NewWriter(&buf, flate.BestSpeed)
		_, _ = writer.Write(ver.document)
		_ = writer.Close()
		ver.compressed = buf.Bytes()
	})
	return ver.compressed
}

// Receive adopts a revision that a peer offers and returns the revision then in force.
func (pub *Publisher) Receive(pus *messenger.TablesPush) (*messenger.TablesAck, error) {
	have := pub.Current().Revision()
	if !Adopts(have, pus.GetRevision()) {
		return &messenger.TablesAck{Revision: have}, nil
	}
	switch {
	case len(pus.GetDelta()) > 0 && pus.GetBaseRevision() == have:
		if err := pub.receiveDelta(pus); err != nil {
			return &messenger.TablesAck{Revision: have, WantWhole: true}, nil //nolint:nilerr // The peer sends the full document instead.
		}
	case len(pus.GetDocument()) > 0:
		if err := pub.receiveDocument(pus); err != nil {
			return nil, err
		}
	}
	return &messenger.TablesAck{Revision: pub.Current().Revision()}, nil
}

func (pub *Publisher) receiveDelta(pus *messenger.TablesPush) error {
	del, err := differ.Decode(pus.GetDelta())
	if err != nil {
		return err
	}
	tab, err := del.Apply(pub.Current().Tables())
	if err != nil {
		return err
	}
	doc, err := tab.Encode()
	if err != nil {
		return err
	}
	if tab.Revision != pus.GetRevision() || differ.Checksum(doc) != pus.GetChecksum() {
		return eris.Wrapf(differ.ErrMismatch, "Publisher.receiveDelta: revision %d", pus.GetRevision())
	}
	if pub.adoptTables(tab, doc, del) {
		pub.notifyAdopted(false)
	}
	return nil
}

func (pub *Publisher) receiveDocument(pus *messenger.TablesPush) error {
	doc := pus.GetDocument()
	if pus.GetCompressed() {
		var err error
		reader := flate.NewReader(bytes.NewReader(doc))
		if doc, err = io.ReadAll(io.LimitReader(reader, parser.MaxDocumentBytes+1)); err != nil {
			return eris.Wrap(err, "Publisher.receiveDocument: decompress")
		}
	}
	if differ.Checksum(doc) != pus.GetChecksum() {
		return eris.Wrapf(differ.ErrMismatch, "Publisher.receiveDocument: revision %d", pus.GetRevision())
	}
	tab, err := parser.Decode(doc)
	if err != nil {
		return eris.Wrap(err, "Publisher.receiveDocument")
	}
	if tab.Revision != pus.GetRevision() {
		return eris.Wrapf(differ.ErrMismatch, "Publisher.receiveDocument: document has revision %d, offer %d", tab.Revision, pus.GetRevision())
	}
	if pub.adoptTables(tab, doc, differ.Delta{}) {
		pub.notifyAdopted(false)
	}
	return nil
}
