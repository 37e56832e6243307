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

// ErrMismatch means that an offer does not produce the list with its checksum.
var ErrMismatch = eris.New("lister: offer does not match its checksum")

// ObserveStamp reports whether this host wants the reading with a peer's stamp. A stamp equal
// to that of the held reading confirms the held reading.
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

// Offer returns the message that brings a peer from the reading have to the one
// that this host holds.
func (lis *Lister) Offer(have *messenger.ListStamp, now time.Time) *messenger.ListPush {
	lis.mu.Lock()
	red := lis.held
	lis.mu.Unlock()
	pus := &messenger.ListPush{Stamp: red.stamp.message(now), Checksum: red.checksum}
	if pus.GetStamp() == nil {
		return pus
	}
	if have.GetSource() == red.stamp.Source && have.GetIncarnation() == red.stamp.Incarnation {
		if cha, ok := red.changeSince(have.GetSequence()); ok {
			pus.BaseSequence = cha.base
			pus.Changed = encode(slices.Collect(maps.Values(cha.changed)))
			pus.Removed = slices.Collect(maps.Keys(cha.removed))
			return pus
		}
	}
	pus.Changed = encode(red.entries)
	return pus
}

// Announce returns the message for peers that are likely to have the previous reading:
// the latest change, or only the stamp if the change is large.
func (lis *Lister) Announce(now time.Time) *messenger.ListPush {
	lis.mu.Lock()
	sta := lis.held.stamp
	chas := lis.held.changes
	lis.mu.Unlock()
	have := sta.message(now)
	if len(chas) == 0 {
		return &messenger.ListPush{Stamp: have}
	}
	have.Sequence = chas[len(chas)-1].base
	pus := lis.Offer(have, now)
	if len(pus.GetChanged()) > maxAnnounceBytes {
		return &messenger.ListPush{Stamp: pus.GetStamp()}
	}
	return pus
}

func (red reading) changeSince(sequence uint64) (change, bool) {
	for i, cha := range red.changes {
		if cha.base != sequence {
			continue
		}
		for _, next := range red.changes[i+1:] {
			cha = cha.followedBy(next)
		}
		return cha, true
	}
	return change{}, false
}

// Receive adopts a reading that a peer offers, if this host wants it. It reports whether
// it was adopted, and whether the full list is needed instead.
func (lis *Lister) Receive(pus *messenger.ListPush, now time.Time) (adopted, wantWhole bool, err error) {
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
	next := reading{stamp: offered, entries: ents}
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
		return false, true, eris.Wrapf(ErrMismatch, "Lister.Receive: reading %d of %s", offered.Sequence, offered.Source)
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
