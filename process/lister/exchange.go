package lister

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/rotisserie/eris"
)

const (
	// maxListBytes bounds the decompressed list of an offer.
	maxListBytes = 64 << 20
	// maxAnnounceBytes bounds the compressed changes that are sent unrequested.
	maxAnnounceBytes = 16 << 10
)

// ErrMismatch means that an offer does not lead to a list with the offer's checksum.
var ErrMismatch = eris.New("lister: offer does not match its checksum")

// ObserveStamp receives the stamp of a peer's list and reports whether this host must pull
// that list. If it is the stamp of the held list, the held list counts as confirmed at the
// later of the two times.
func (lis *Lister) ObserveStamp(msg *messenger.ListStamp, now time.Time) bool {
	offered := stampFromMessage(msg, now)
	if offered.Source == "" || offered.Source == lis.Self {
		return false
	}
	reader := ReaderOf(lis.Self, lis.LivePeers())
	lis.mu.Lock()
	defer lis.mu.Unlock()
	held := lis.held.stamp
	if offered.Source == held.Source && offered.Incarnation == held.Incarnation && offered.Sequence == held.Sequence {
		if offered.At.After(held.At) {
			lis.held.stamp.At = offered.At
		}
		return false
	}
	return reader != lis.Self && Adopts(held, offered, reader)
}

// Offer returns the message that brings a peer from the list with the stamp peerStamp to
// the list that this host holds: the changes if they are known, else the full list.
func (lis *Lister) Offer(peerStamp *messenger.ListStamp, now time.Time) *messenger.ListPush {
	lis.mu.Lock()
	sna := lis.held
	lis.mu.Unlock()
	pus := &messenger.ListPush{Stamp: sna.stamp.message(now), Checksum: sna.checksum}
	if pus.GetStamp() == nil {
		return pus
	}
	if peerStamp.GetSource() == sna.stamp.Source && peerStamp.GetIncarnation() == sna.stamp.Incarnation {
		if cha, ok := sna.changeSince(peerStamp.GetSequence()); ok {
			pus.BaseSequence = cha.base
			pus.Changed = encode(slices.Collect(maps.Values(cha.changed)))
			pus.Removed = slices.Collect(maps.Keys(cha.removed))
			return pus
		}
	}
	pus.Changed = encode(sna.entries)
	return pus
}

// Announce returns the message for peers that are likely to have the previous snapshot:
// the latest change, or only the stamp if the change is large.
func (lis *Lister) Announce(now time.Time) *messenger.ListPush {
	lis.mu.Lock()
	sta := lis.held.stamp
	chas := lis.held.changes
	lis.mu.Unlock()
	peerStamp := sta.message(now)
	if len(chas) == 0 {
		return &messenger.ListPush{Stamp: peerStamp}
	}
	peerStamp.Sequence = chas[len(chas)-1].base
	pus := lis.Offer(peerStamp, now)
	if len(pus.GetChanged()) > maxAnnounceBytes {
		return &messenger.ListPush{Stamp: pus.GetStamp()}
	}
	return pus
}

// changeSince returns the composed change from the snapshot with a sequence to this one, if
// it is known.
func (sna snapshot) changeSince(sequence uint64) (change, bool) {
	for i, cha := range sna.changes {
		if cha.base != sequence {
			continue
		}
		for _, next := range sna.changes[i+1:] {
			cha = cha.compose(next)
		}
		return cha, true
	}
	return change{}, false
}

// Receive adopts a list that a peer offers, if this host must pull that list. It returns
// whether the list was adopted, and whether the peer must send more: the changes since the
// held list if the offer holds only a stamp, else the full list.
func (lis *Lister) Receive(pus *messenger.ListPush, now time.Time) (adopted, wantMore bool, err error) {
	if !lis.ObserveStamp(pus.GetStamp(), now) {
		return false, false, nil
	}
	if len(pus.GetChanged()) == 0 {
		return false, true, nil
	}
	ents, err := decode(pus.GetChanged())
	if err != nil {
		return false, true, err
	}
	offered := stampFromMessage(pus.GetStamp(), now)
	lis.mu.Lock()
	defer lis.mu.Unlock()
	old := lis.held
	next := snapshot{stamp: offered, entries: ents}
	if base := pus.GetBaseSequence(); base > 0 {
		if old.stamp.Source != offered.Source || old.stamp.Incarnation != offered.Incarnation || old.stamp.Sequence != base {
			return false, true, nil
		}
		cha := change{base: base, changed: byID(ents), removed: map[string]bool{}}
		for _, id := range pus.GetRemoved() {
			cha.removed[id] = true
		}
		next.entries = cha.apply(old.entries)
		next.changes = append(slices.Clone(old.changes), cha)
		next.changes = next.changes[max(0, len(next.changes)-maxChanges):]
	}
	next.checksum, next.size = checksum(next.entries)
	if next.checksum != pus.GetChecksum() {
		return false, true, eris.Wrapf(ErrMismatch, "Lister.Receive: list with sequence %d from host %s", offered.Sequence, offered.Source)
	}
	lis.held = next
	return true, false, nil
}

func encode(ents []persister.Entry) []byte {
	var buf bytes.Buffer
	writer, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_ = json.NewEncoder(writer).Encode(ents)
	_ = writer.Close()
	return buf.Bytes()
}

func decode(buf []byte) ([]persister.Entry, error) {
	var ents []persister.Entry
	reader := flate.NewReader(bytes.NewReader(buf))
	err := json.NewDecoder(io.LimitReader(reader, maxListBytes)).Decode(&ents)
	return ents, eris.Wrap(err, "lister.decode")
}
