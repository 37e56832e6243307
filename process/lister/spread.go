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
	// maxListBytes bounds the list that a peer may offer.
	maxListBytes = 64 << 20
	// maxAnnounceBytes bounds the changes that are sent without being asked for.
	maxAnnounceBytes = 16 << 10
)

// ErrMismatch means that an offer does not lead to the list it was made for.
var ErrMismatch = eris.New("lister: the offer does not lead to the list")

// Wants takes the stamp of a peer and reports whether its reading is wanted. A
// stamp equal to the one held confirms it.
func (lis *Lister) Wants(mes *messenger.ListStamp, now time.Time) bool {
	off := stampOf(mes, now)
	if off.Source == "" || off.Source == lis.Self {
		return false
	}
	red := Reader(lis.Self, lis.Region())
	lis.mu.Lock()
	defer lis.mu.Unlock()
	held := lis.held.stamp
	if off.Source == held.Source && off.Incarnation == held.Incarnation && off.Sequence == held.Sequence {
		if off.At.After(held.At) {
			lis.held.stamp.At = off.At
		}
		return false
	}
	return red != lis.Self && Adopts(held, off, red)
}

// Offer builds the message that brings a peer with the reading have to the one
// held here.
func (lis *Lister) Offer(have *messenger.ListStamp, now time.Time) *messenger.ListPush {
	lis.mu.Lock()
	red := lis.held
	lis.mu.Unlock()
	pus := &messenger.ListPush{Stamp: red.stamp.message(now), Checksum: red.checksum}
	if pus.GetStamp() == nil {
		return pus
	}
	if have.GetSource() == red.stamp.Source && have.GetIncarnation() == red.stamp.Incarnation {
		if cha, ok := red.from(have.GetSequence()); ok {
			pus.BaseSequence = cha.base
			pus.Changed = encode(slices.Collect(maps.Values(cha.changed)))
			pus.Removed = slices.Collect(maps.Keys(cha.removed))
			return pus
		}
	}
	pus.Changed = encode(red.entries)
	return pus
}

// Announce builds the message for peers that are likely to hold the reading
// before the one held here: what has changed, or only the stamp if that is long.
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

func (red reading) from(sequence uint64) (change, bool) {
	for ind, cha := range red.changes {
		if cha.base != sequence {
			continue
		}
		for _, nex := range red.changes[ind+1:] {
			cha = cha.then(nex)
		}
		return cha, true
	}
	return change{}, false
}

// Receive takes a reading that a peer offers. It reports whether it was adopted,
// and whether the whole list is needed instead.
func (lis *Lister) Receive(pus *messenger.ListPush, now time.Time) (adopted, wantWhole bool, err error) {
	if !lis.Wants(pus.GetStamp(), now) {
		return false, false, nil
	}
	if len(pus.GetChanged()) == 0 {
		return false, true, nil
	}
	ents, err := decode(pus.GetChanged())
	if err != nil {
		return false, true, err
	}
	off := stampOf(pus.GetStamp(), now)
	lis.mu.Lock()
	defer lis.mu.Unlock()
	old := lis.held
	nex := reading{stamp: off, entries: ents}
	if bas := pus.GetBaseSequence(); bas > 0 {
		if old.stamp.Source != off.Source || old.stamp.Incarnation != off.Incarnation || old.stamp.Sequence != bas {
			return false, true, nil
		}
		cha := change{base: bas, changed: byID(ents), removed: map[string]bool{}}
		for _, id := range pus.GetRemoved() {
			cha.removed[id] = true
		}
		nex.entries = cha.apply(old.entries)
		nex.changes = append(slices.Clone(old.changes), cha)
		nex.changes = nex.changes[max(0, len(nex.changes)-keptChanges):]
	}
	nex.checksum, nex.size = checksum(nex.entries)
	if nex.checksum != pus.GetChecksum() {
		return false, true, eris.Wrapf(ErrMismatch, "Lister.Receive: reading %d of %s", off.Sequence, off.Source)
	}
	lis.held = nex
	return true, false, nil
}

func encode(ents []persister.Entry) []byte {
	var buf bytes.Buffer
	wri, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_ = json.NewEncoder(wri).Encode(ents)
	_ = wri.Close()
	return buf.Bytes()
}

func decode(buf []byte) ([]persister.Entry, error) {
	var ents []persister.Entry
	rea := flate.NewReader(bytes.NewReader(buf))
	err := json.NewDecoder(io.LimitReader(rea, maxListBytes)).Decode(&ents)
	return ents, eris.Wrap(err, "lister.decode")
}
