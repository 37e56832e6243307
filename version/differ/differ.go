// Package differ computes the change between two revisions of the tables and
// applies it, so that hosts need not send each other whole documents.
package differ

import (
	"cmp"
	"encoding/json"
	"reflect"

	"hemlockpin/version/parser"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrMismatch means that a delta does not lead to the document it was made for.
var ErrMismatch = eris.New("differ: the delta does not lead to the document")

// Delta changes the tables of BaseRevision into those of Revision. Entries
// replace those of the same name, or follow at the end.
type Delta struct {
	BaseRevision uint64
	Revision     uint64
	Nonce        string
	Edits        []parser.Edit
	Routes       Section[parser.Route]
	Pools        Section[parser.Pool]
	Teams        Section[parser.Team]
	// Caller is nil where the limits have not changed.
	Caller *parser.Limits `json:",omitempty"`
}

// Section holds the changes of one table.
type Section[T any] struct {
	Changed []T      `json:",omitempty"`
	Removed []string `json:",omitempty"`
}

func routeName(rou parser.Route) string { return rou.Name }
func poolName(poo parser.Pool) string   { return poo.Name }
func teamName(tea parser.Team) string   { return tea.Name }

// Diff computes the change from bas to nex.
func Diff(bas, nex parser.Tables) Delta {
	del := Delta{
		BaseRevision: bas.Revision, Revision: nex.Revision, Nonce: nex.Nonce,
		Routes: diff(bas.Routes, nex.Routes, routeName),
		Pools:  diff(bas.Pools, nex.Pools, poolName),
		Teams:  diff(bas.Teams, nex.Teams, teamName),
	}
	if bas.Caller != nex.Caller {
		del.Caller = &nex.Caller
	}
	for _, edi := range nex.Recent {
		if edi.Revision > bas.Revision {
			del.Edits = append(del.Edits, edi)
		}
	}
	return del
}

func diff[T any](bas, nex []T, name func(T) string) Section[T] {
	var sec Section[T]
	old := make(map[string]T, len(bas))
	for _, ent := range bas {
		old[name(ent)] = ent
	}
	for _, ent := range nex {
		was, ok := old[name(ent)]
		if !ok || !reflect.DeepEqual(was, ent) {
			sec.Changed = append(sec.Changed, ent)
		}
		delete(old, name(ent))
	}
	for _, ent := range bas {
		if _, gone := old[name(ent)]; gone {
			sec.Removed = append(sec.Removed, name(ent))
		}
	}
	return sec
}

// Apply returns the tables of Revision. bas must be those of BaseRevision.
func (del Delta) Apply(bas parser.Tables) (parser.Tables, error) {
	if bas.Revision != del.BaseRevision {
		return parser.Tables{}, eris.Wrapf(ErrMismatch, "Delta.Apply: base revision %d, have %d", del.BaseRevision, bas.Revision)
	}
	rec := append(append([]parser.Edit{}, bas.Recent...), del.Edits...)
	return parser.Tables{
		Revision: del.Revision, Nonce: del.Nonce,
		Recent: rec[max(0, len(rec)-parser.MaxRecentEdits):],
		Routes: apply(bas.Routes, del.Routes, routeName),
		Pools:  apply(bas.Pools, del.Pools, poolName),
		Teams:  apply(bas.Teams, del.Teams, teamName),
		Caller: *cmp.Or(del.Caller, &bas.Caller),
	}, nil
}

func apply[T any](bas []T, sec Section[T], name func(T) string) []T {
	if len(sec.Changed) == 0 && len(sec.Removed) == 0 {
		return bas
	}
	cha := make(map[string]T, len(sec.Changed))
	for _, ent := range sec.Changed {
		cha[name(ent)] = ent
	}
	rem := make(map[string]bool, len(sec.Removed))
	for _, nam := range sec.Removed {
		rem[nam] = true
	}
	out := make([]T, 0, len(bas)+len(sec.Changed))
	for _, ent := range bas {
		nam := name(ent)
		if rem[nam] {
			continue
		}
		if nex, ok := cha[nam]; ok {
			ent = nex
			delete(cha, nam)
		}
		out = append(out, ent)
	}
	for _, ent := range sec.Changed {
		if _, ok := cha[name(ent)]; ok {
			out = append(out, ent)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// Compose returns the delta that has the effect of del followed by nex.
func (del Delta) Compose(nex Delta) Delta {
	return Delta{
		BaseRevision: del.BaseRevision, Revision: nex.Revision, Nonce: nex.Nonce,
		Edits:  append(append([]parser.Edit{}, del.Edits...), nex.Edits...),
		Routes: then(del.Routes, nex.Routes, routeName),
		Pools:  then(del.Pools, nex.Pools, poolName),
		Teams:  then(del.Teams, nex.Teams, teamName),
		Caller: cmp.Or(nex.Caller, del.Caller),
	}
}

func then[T any](one, two Section[T], name func(T) string) Section[T] {
	var sec Section[T]
	late := map[string]bool{}
	for _, ent := range two.Changed {
		late[name(ent)] = true
	}
	gone := map[string]bool{}
	for _, nam := range two.Removed {
		gone[nam] = true
	}
	for _, ent := range one.Changed {
		if !late[name(ent)] && !gone[name(ent)] {
			sec.Changed = append(sec.Changed, ent)
		}
	}
	sec.Changed = append(sec.Changed, two.Changed...)
	for _, nam := range one.Removed {
		if !late[nam] {
			sec.Removed = append(sec.Removed, nam)
		}
	}
	sec.Removed = append(sec.Removed, two.Removed...)
	return sec
}

// Encode formats a delta.
func (del Delta) Encode() ([]byte, error) {
	buf, err := json.Marshal(del)
	return buf, eris.Wrap(err, "Delta.Encode")
}

// Decode parses a delta.
func Decode(buf []byte) (Delta, error) {
	var del Delta
	err := json.Unmarshal(buf, &del)
	return del, eris.Wrap(err, "differ.Decode")
}

// Checksum identifies an encoded document.
func Checksum(doc []byte) uint64 { return xxhash.Sum64(doc) }
