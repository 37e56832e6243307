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
	// keptDeltas is the number of steps back for which a host can build a delta.
	keptDeltas = 16
	// maxDeltaBytes bounds a delta; a larger change travels as a whole document.
	maxDeltaBytes = 32 << 10
)

// deltasTo continues the steps that lead to the revision in force. A step whose
// result would differ from the document is left out, with those before it.
func deltasTo(old, ver *version) []differ.Delta {
	if old == nil {
		return nil
	}
	bas := old.mat.Tables()
	del := differ.Diff(bas, ver.mat.Tables())
	nex, err := del.Apply(bas)
	if err != nil {
		return nil
	}
	doc, err := nex.Encode()
	if err != nil || differ.Checksum(doc) != ver.checksum {
		return nil
	}
	return appendDelta(old.deltas, del)
}

func appendDelta(dels []differ.Delta, del differ.Delta) []differ.Delta {
	out := append(slices.Clone(dels), del)
	return out[max(0, len(out)-keptDeltas):]
}

// Offer builds the message that brings a peer with the revision have to the
// tables in force: a delta if one is known and whole is not asked for.
func (pub *Publisher) Offer(have uint64, whole bool) *messenger.TablesPush {
	ver := pub.current.Load()
	if ver == nil {
		return &messenger.TablesPush{}
	}
	pus := &messenger.TablesPush{Revision: ver.mat.Revision(), Checksum: ver.checksum}
	if !whole {
		if buf, ok := ver.deltaFrom(have); ok {
			pus.Delta = buf
			pus.BaseRevision = have
			return pus
		}
	}
	pus.Document = ver.whole()
	pus.Compressed = true
	return pus
}

// Announce builds the message for peers that are likely to have the revision
// before the one in force. It carries a delta, or else only the revision.
func (pub *Publisher) Announce() *messenger.TablesPush {
	ver := pub.current.Load()
	if ver == nil {
		return &messenger.TablesPush{}
	}
	pus := &messenger.TablesPush{Revision: ver.mat.Revision(), Checksum: ver.checksum}
	if len(ver.deltas) == 0 {
		return pus
	}
	bas := ver.deltas[len(ver.deltas)-1].BaseRevision
	if buf, ok := ver.deltaFrom(bas); ok {
		pus.Delta = buf
		pus.BaseRevision = bas
	}
	return pus
}

// deltaFrom joins the steps from a revision.
func (ver *version) deltaFrom(have uint64) ([]byte, bool) {
	for ind, del := range ver.deltas {
		if del.BaseRevision != have {
			continue
		}
		for _, nex := range ver.deltas[ind+1:] {
			del = del.Then(nex)
		}
		buf, err := del.Encode()
		return buf, err == nil && len(buf) <= maxDeltaBytes
	}
	return nil, false
}

func (ver *version) whole() []byte {
	ver.once.Do(func() {
		var buf bytes.Buffer
		wri, _ := flate.NewWriter(&buf, flate.BestSpeed)
		_, _ = wri.Write(ver.document)
		_ = wri.Close()
		ver.compressed = buf.Bytes()
	})
	return ver.compressed
}

// Receive takes a revision that a peer offers and says what is in force then.
func (pub *Publisher) Receive(pus *messenger.TablesPush) (*messenger.TablesAck, error) {
	have := pub.Current().Revision()
	if !Adopts(have, pus.GetRevision()) {
		return &messenger.TablesAck{Revision: have}, nil
	}
	switch {
	case len(pus.GetDelta()) > 0 && pus.GetBaseRevision() == have:
		if err := pub.receiveDelta(pus); err != nil {
			return &messenger.TablesAck{Revision: have, WantWhole: true}, nil //nolint:nilerr // The whole document is the remedy.
		}
	case len(pus.GetDocument()) > 0:
		if err := pub.receiveWhole(pus); err != nil {
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
	if pub.accept(tab, doc, del) {
		pub.announce(false)
	}
	return nil
}

func (pub *Publisher) receiveWhole(pus *messenger.TablesPush) error {
	doc := pus.GetDocument()
	if pus.GetCompressed() {
		var err error
		rea := flate.NewReader(bytes.NewReader(doc))
		if doc, err = io.ReadAll(io.LimitReader(rea, parser.MaxDocumentBytes+1)); err != nil {
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
	if pub.accept(tab, doc, differ.Delta{}) {
		pub.announce(false)
	}
	return nil
}
