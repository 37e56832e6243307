// Package differ computes the difference between two revisions of the tables and
// applies it, so that hosts need not send each other complete documents.
package differ

import (
	"cmp"
	"encoding/json"
	"reflect"

	"hemlockpin/version/parser"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrMismatch means that a delta does not fit: the tables to which it is applied do
// not have its base revision, or the result is not the document for which the delta
// was computed. Apply checks only the base revision; its callers check the result.
var ErrMismatch = eris.New("differ: the delta does not lead to the document")

// Delta changes the tables of BaseRevision into those of Revision. A changed entry
// replaces the entry of the same name or, if there is none, is appended.
type Delta struct {
	BaseRevision uint64
	Revision     uint64
	Nonce        string
	// Edits holds the accepted edits after BaseRevision that the tables still list.
	Edits  []parser.Edit
	Routes Section[parser.Route]
	Pools  Section[parser.Pool]
	Teams  Section[parser.Team]
	// RequireKeys is nil if it has not changed.
	RequireKeys *bool `json:",omitempty"`
	// Evacuations is empty in deltas of hosts that know none.
	Evacuations Section[parser.Evacuation] `json:",omitzero"`
	// Caller is nil if the limits have not changed.
	Caller *parser.Limits `json:",omitempty"`
}

// Section holds the changes to one table: the new and changed entries and the names
// of the removed entries.
type Section[T any] struct {
	Changed []T      `json:",omitempty"`
	Removed []string `json:",omitempty"`
}

func routeName(rou parser.Route) string { return rou.Name }
func poolName(poo parser.Pool) string   { return poo.Name }
func teamName(tea parser.Team) string   { return tea.Name }

func evacuationName(eva parser.Evacuation) string { return eva.Name }

// Diff computes the delta from base to next.
func Diff(base, next parser.Tables) Delta {
	del := Delta{
		BaseRevision: base.Revision, Revision: next.Revision, Nonce: next.Nonce,
		Routes: diff(base.Routes, next.Routes, routeName),
		Pools:  diff(base.Pools, next.Pools, poolName),
		Teams:  diff(base.Teams, next.Teams, teamName),

		Evacuations: diff(base.Evacuations, next.Evacuations, evacuationName),
	}
	if base.RequireKeys != next.RequireKeys {
		del.RequireKeys = &next.RequireKeys
	}
	if base.Caller != next.Caller {
		del.Caller = &next.Caller
	}
	for _, edi := range next.Recent {
		if edi.Revision > base.Revision {
			del.Edits = append(del.Edits, edi)
		}
	}
	return del
}

func diff[T any](base, next []T, nameOf func(T) string) Section[T] {
	var sec Section[T]
	remaining := make(map[string]T, len(base))
	for _, entry := range base {
		remaining[nameOf(entry)] = entry
	}
	for _, entry := range next {
		before, ok := remaining[nameOf(entry)]
		if !ok || !reflect.DeepEqual(before, entry) {
			sec.Changed = append(sec.Changed, entry)
		}
		delete(remaining, nameOf(entry))
	}
	for _, entry := range base {
		if _, ok := remaining[nameOf(entry)]; ok {
			sec.Removed = append(sec.Removed, nameOf(entry))
		}
	}
	return sec
}

// Apply returns the tables that result from applying the delta to base. It returns
// ErrMismatch if base does not have revision BaseRevision.
func (del Delta) Apply(base parser.Tables) (parser.Tables, error) {
	if base.Revision != del.BaseRevision {
		return parser.Tables{}, eris.Wrapf(ErrMismatch, "Delta.Apply: base revision %d, have %d", del.BaseRevision, base.Revision)
	}
	recent := append(append([]parser.Edit{}, base.Recent...), del.Edits...)
	return parser.Tables{
		Revision: del.Revision, Nonce: del.Nonce,
		Recent: recent[max(0, len(recent)-parser.MaxRecentEdits):],
		Routes: apply(base.Routes, del.Routes, routeName),
		Pools:  apply(base.Pools, del.Pools, poolName),
		Teams:  apply(base.Teams, del.Teams, teamName),

		RequireKeys: *cmp.Or(del.RequireKeys, &base.RequireKeys),
		Evacuations: apply(base.Evacuations, del.Evacuations, evacuationName),

		Caller: *cmp.Or(del.Caller, &base.Caller),
	}, nil
}

func apply[T any](base []T, sec Section[T], nameOf func(T) string) []T {
	if len(sec.Changed) == 0 && len(sec.Removed) == 0 {
		return base
	}
	changed := make(map[string]T, len(sec.Changed))
	for _, entry := range sec.Changed {
		changed[nameOf(entry)] = entry
	}
	removed := make(map[string]bool, len(sec.Removed))
	for _, name := range sec.Removed {
		removed[name] = true
	}
	out := make([]T, 0, len(base)+len(sec.Changed))
	for _, entry := range base {
		name := nameOf(entry)
		if removed[name] {
			continue
		}
		if next, ok := changed[name]; ok {
			entry = next
			delete(changed, name)
		}
		out = append(out, entry)
	}
	for _, entry := range sec.Changed {
		if _, ok := changed[nameOf(entry)]; ok {
			out = append(out, entry)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// Compose returns the delta that has the effect of del followed by next, except that
// entries changed or added by both may be in another order. The result then has
// another checksum, and the receiver requests the complete document.
func (del Delta) Compose(next Delta) Delta {
	return Delta{
		BaseRevision: del.BaseRevision, Revision: next.Revision, Nonce: next.Nonce,
		Edits:  append(append([]parser.Edit{}, del.Edits...), next.Edits...),
		Routes: compose(del.Routes, next.Routes, routeName),
		Pools:  compose(del.Pools, next.Pools, poolName),
		Teams:  compose(del.Teams, next.Teams, teamName),

		RequireKeys: cmp.Or(next.RequireKeys, del.RequireKeys),
		Evacuations: compose(del.Evacuations, next.Evacuations, evacuationName),

		Caller: cmp.Or(next.Caller, del.Caller),
	}
}

func compose[T any](first, second Section[T], nameOf func(T) string) Section[T] {
	var sec Section[T]
	changedInSecond := map[string]bool{}
	for _, entry := range second.Changed {
		changedInSecond[nameOf(entry)] = true
	}
	removedInSecond := map[string]bool{}
	for _, name := range second.Removed {
		removedInSecond[name] = true
	}
	for _, entry := range first.Changed {
		if !changedInSecond[nameOf(entry)] && !removedInSecond[nameOf(entry)] {
			sec.Changed = append(sec.Changed, entry)
		}
	}
	sec.Changed = append(sec.Changed, second.Changed...)
	for _, name := range first.Removed {
		if !changedInSecond[name] {
			sec.Removed = append(sec.Removed, name)
		}
	}
	sec.Removed = append(sec.Removed, second.Removed...)
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

// Checksum returns the xxHash64 of an encoded document. Hosts compare it to check
// that the result of a delta is the expected document.
func Checksum(doc []byte) uint64 { return xxhash.Sum64(doc) }
