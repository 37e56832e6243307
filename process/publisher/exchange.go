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

// deltasTo returns the deltas of old, extended by the delta from old to enc. It returns none
// if applying that delta does not reproduce the document of enc.
func deltasTo(old, enc *encodedTables) []differ.Delta {
	if old == nil {
		return nil
	}
	base := old.matcher.Tables()
	del := differ.Diff(base, enc.matcher.Tables())
	next, err := del.Apply(base)
	if err != nil {
		return nil
	}
	doc, err := next.Encode()
	if err != nil || differ.Checksum(doc) != enc.checksum {
		return nil
	}
	return appendDelta(old.deltas, del)
}

func appendDelta(dels []differ.Delta, del differ.Delta) []differ.Delta {
	out := append(slices.Clone(dels), del)
	return out[max(0, len(out)-keptDeltas):]
}

// Offer returns the message that brings a peer with peerRevision in force to the tables in
// force on this host: a delta if one is available and full is false, else the full document.
func (pub *Publisher) Offer(peerRevision uint64, full bool) *messenger.TablesPush {
	enc := pub.current.Load()
	if enc == nil {
		return &messenger.TablesPush{}
	}
	pus := &messenger.TablesPush{Revision: enc.matcher.Revision(), Checksum: enc.checksum}
	if !full {
		if buf, ok := enc.deltaFrom(peerRevision); ok {
			pus.Delta = buf
			pus.BaseRevision = peerRevision
			return pus
		}
	}
	pus.Document = enc.compressedDocument()
	pus.Compressed = true
	return pus
}

// Announce returns the message for peers that are likely to have the revision
// before the one in force. It contains a delta if one is available, else only the revision.
func (pub *Publisher) Announce() *messenger.TablesPush {
	enc := pub.current.Load()
	if enc == nil {
		return &messenger.TablesPush{}
	}
	pus := &messenger.TablesPush{Revision: enc.matcher.Revision(), Checksum: enc.checksum}
	if len(enc.deltas) == 0 {
		return pus
	}
	base := enc.deltas[len(enc.deltas)-1].BaseRevision
	if buf, ok := enc.deltaFrom(base); ok {
		pus.Delta = buf
		pus.BaseRevision = base
	}
	return pus
}

// deltaFrom returns the composed delta from the revision base to this one, if it is
// available and not too large.
func (enc *encodedTables) deltaFrom(base uint64) ([]byte, bool) {
	for i, del := range enc.deltas {
		if del.BaseRevision != base {
			continue
		}
		for _, next := range enc.deltas[i+1:] {
			del = del.Compose(next)
		}
		buf, err := del.Encode()
		return buf, err == nil && len(buf) <= maxDeltaBytes
	}
	return nil, false
}

func (enc *encodedTables) compressedDocument() []byte {
	enc.once.Do(func() {
		var buf bytes.Buffer
		writer, _ := flate.NewWriter(&buf, flate.BestSpeed)
		_, _ = writer.Write(enc.document)
		_ = writer.Close()
		enc.compressed = buf.Bytes()
	})
	return enc.compressed
}

// Receive adopts a revision that a peer offers. The reply holds the revision in force
// afterwards, and WantWhole if the delta could not be applied and the full document is
// needed.
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
			return eris.Wrap(err, "Publisher.receiveWhole: expand")
		}
	}
	if differ.Checksum(doc) != pus.GetChecksum() {
		return eris.Wrapf(differ.ErrMismatch, "Publisher.receiveWhole: revision %d", pus.GetRevision())
	}
	tab, err := parser.Decode(doc)
	if err != nil {
		return eris.Wrap(err, "Publisher.receiveWhole")
	}
	if tab.Revision != pus.GetRevision() {
		return eris.Wrapf(differ.ErrMismatch, "Publisher.receiveWhole: document has revision %d, offer %d", tab.Revision, pus.GetRevision())
	}
	if pub.adoptTables(tab, doc, differ.Delta{}) {
		pub.notifyAdopted(false)
	}
	return nil
}
