// Package editor derives new tables from old ones for the operators' command line:
// it merges files, sets fields of entries, removes entries and compares two
// revisions. It does not communicate with hosts.
package editor

import (
	"bytes"
	"encoding/json"
	"slices"

	"hemlockpin/connection/decoder"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

// Kind is the kind of an entry and thereby its table.
type Kind string

// Kinds of entries.
const (
	Routes Kind = "route"
	Pools  Kind = "pool"
	Teams  Kind = "team"

	Evacuations Kind = "evacuation"
)

// Entry is a named entry of a table: a parser.Route, parser.Pool, parser.Team or
// parser.Evacuation.
type Entry interface {
	parser.Route | parser.Pool | parser.Team | parser.Evacuation
}

// Entries returns the entries of one kind as a slice of parser.Route, parser.Pool,
// parser.Team or parser.Evacuation.
func Entries(tab parser.Tables, kin Kind) any {
	switch kin {
	case Routes:
		return tab.Routes
	case Pools:
		return tab.Pools
	case Evacuations:
		return tab.Evacuations
	default:
		return tab.Teams
	}
}

// Names lists the names of the entries of one kind in the order of the table.
func Names(tab parser.Tables, kin Kind) []string {
	switch kin {
	case Routes:
		return names(tab.Routes)
	case Pools:
		return names(tab.Pools)
	case Evacuations:
		return names(tab.Evacuations)
	default:
		return names(tab.Teams)
	}
}

// Find returns the entry with a name as a parser.Route, parser.Pool or parser.Team.
func Find(tab parser.Tables, kin Kind, name string) (any, error) {
	switch kin {
	case Routes:
		return find(tab.Routes, kin, name)
	case Pools:
		return find(tab.Pools, kin, name)
	case Evacuations:
		return find(tab.Evacuations, kin, name)
	default:
		return find(tab.Teams, kin, name)
	}
}

// Put adds the entry in doc, a JSON object, or replaces the entry of the same name.
func Put(tab parser.Tables, kin Kind, doc []byte) (parser.Tables, error) {
	var err error
	switch kin {
	case Routes:
		tab.Routes, err = put(tab.Routes, kin, doc)
	case Pools:
		tab.Pools, err = put(tab.Pools, kin, doc)
	case Evacuations:
		tab.Evacuations, err = put(tab.Evacuations, kin, doc)
	default:
		tab.Teams, err = put(tab.Teams, kin, doc)
	}
	return tab, err
}

// Remove removes the entry with a name. It returns an error if no entry has
// the name.
func Remove(tab parser.Tables, kin Kind, name string) (parser.Tables, error) {
	if _, err := Find(tab, kin, name); err != nil {
		return tab, err
	}
	switch kin {
	case Routes:
		tab.Routes = remove(tab.Routes, name)
	case Pools:
		tab.Pools = remove(tab.Pools, name)
	case Evacuations:
		tab.Evacuations = remove(tab.Evacuations, name)
	default:
		tab.Teams = remove(tab.Teams, name)
	}
	return tab, nil
}

// Merge adds the entries of part to tab. An entry of part replaces the entry of the
// same kind and name; all other entries are unchanged. RequireKeys of either stays.
func Merge(tab, part parser.Tables) parser.Tables {
	tab.Routes = merge(tab.Routes, part.Routes)
	tab.Pools = merge(tab.Pools, part.Pools)
	tab.Teams = merge(tab.Teams, part.Teams)
	tab.RequireKeys = tab.RequireKeys || part.RequireKeys
	tab.Evacuations = merge(tab.Evacuations, part.Evacuations)
	return tab
}

// Decode decodes a document that may hold only some of the entries, and fills in
// defaults. It does not validate the entries.
func Decode(doc []byte) (parser.Tables, error) {
	tab, err := decodeStrict[parser.Tables](doc)
	return tab.Defaults(), err
}

// decodeStrict decodes a JSON document. It returns an error for unknown fields and
// for text after the document.
func decodeStrict[T any](doc []byte) (T, error) {
	var val T
	dec := json.NewDecoder(bytes.NewReader(decoder.Normalize(doc)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&val); err != nil {
		return val, eris.Wrapf(err, "byte %d", dec.InputOffset())
	}
	if dec.More() {
		return val, eris.Errorf("byte %d: text after the document", dec.InputOffset())
	}
	return val, nil
}

func nameOf[T Entry](ent T) string {
	switch ent := any(ent).(type) {
	case parser.Route:
		return ent.Name
	case parser.Pool:
		return ent.Name
	case parser.Team:
		return ent.Name
	case parser.Evacuation:
		return ent.Name
	default:
		return ""
	}
}

func names[T Entry](ents []T) []string {
	out := make([]string, 0, len(ents))
	for _, ent := range ents {
		out = append(out, nameOf(ent))
	}
	return out
}

func find[T Entry](ents []T, kin Kind, name string) (any, error) {
	for _, ent := range ents {
		if nameOf(ent) == name {
			return ent, nil
		}
	}
	return nil, eris.Errorf("no %s %q", kin, name)
}

func put[T Entry](ents []T, kin Kind, doc []byte) ([]T, error) {
	ent, err := decodeStrict[T](doc)
	if err != nil {
		return ents, eris.Wrapf(err, "%s", kin)
	}
	return merge(ents, []T{ent}), nil
}

func remove[T Entry](ents []T, name string) []T {
	return slices.DeleteFunc(slices.Clone(ents), func(ent T) bool { return nameOf(ent) == name })
}

func merge[T Entry](ents, part []T) []T {
	out := slices.Clone(ents)
	for _, ent := range part {
		i := slices.IndexFunc(out, func(old T) bool { return nameOf(old) == nameOf(ent) })
		if i < 0 {
			out = append(out, ent)
			continue
		}
		out[i] = ent
	}
	return out
}
