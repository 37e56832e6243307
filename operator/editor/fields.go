package editor

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"

	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

var errNoFields = errors.New("the value has no fields")

// Set changes fields of one entry. An assignment is PATH=VALUE, where PATH
// names a field such as TimeLimit or Match.Model. VALUE is taken as text if the
// entry can then be decoded, else as JSON.
func Set(tab parser.Tables, kin Kind, name string, assignments []string) (parser.Tables, error) {
	ent, err := Find(tab, kin, name)
	if err != nil {
		return tab, err
	}
	doc, err := json.Marshal(ent)
	if err != nil {
		return tab, eris.Wrapf(err, "%s %q", kin, name)
	}
	for _, assignment := range assignments {
		path, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return tab, eris.Errorf("%q is not of the form FIELD=VALUE", assignment)
		}
		if path == "Name" {
			return tab, eris.New("Name cannot be set: add an entry under the new name and remove the old one")
		}
		if doc, err = assignField(doc, kin, strings.Split(path, "."), value); err != nil {
			return tab, eris.Wrapf(err, "%s", assignment)
		}
	}
	return Put(tab, kin, doc)
}

// assignField sets the field at path to the value as text or, if the entry can then
// not be decoded, to the value as JSON.
func assignField(doc []byte, kin Kind, path []string, value string) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	var bestErr error
	for _, raw := range []json.RawMessage{text, json.RawMessage(value)} {
		if !json.Valid(raw) {
			continue
		}
		out, err := replaceField(doc, path, raw)
		if err != nil {
			return nil, err
		}
		err = checkEntry(kin, out)
		if err == nil {
			return out, nil
		}
		// For a field that does not hold text, the text gives only a type error, and
		// the error of the value as JSON is more useful.
		if bestErr == nil || errors.As(bestErr, new(*json.UnmarshalTypeError)) {
			bestErr = err
		}
	}
	return nil, bestErr
}

// replaceField returns the object doc with the field at path set to value.
func replaceField(doc []byte, path []string, value json.RawMessage) ([]byte, error) {
	obj := map[string]json.RawMessage{}
	if len(doc) > 0 {
		if err := json.Unmarshal(doc, &obj); err != nil {
			return nil, errNoFields
		}
	}
	if len(path) > 1 {
		inner, err := replaceField(obj[path[0]], path[1:], value)
		if errors.Is(err, errNoFields) {
			err = eris.Errorf("%s has no fields", path[0])
		}
		if err != nil {
			return nil, err
		}
		value = inner
	}
	obj[path[0]] = value
	return json.Marshal(obj)
}

// checkEntry returns an error if doc cannot be decoded as an entry.
func checkEntry(kin Kind, doc []byte) error {
	_, err := Put(parser.Tables{}, kin, doc)
	return err
}

// Action is the way in which an entry changed between two revisions of the tables.
type Action string

// Ways in which an entry can change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one entry between two revisions of the tables.
type Change struct {
	Kind   Kind
	Name   string
	Action Action
	Fields []FieldChange `json:",omitempty"`
}

// FieldChange is the difference of one field. Old and New hold JSON; empty means
// that the field is absent.
type FieldChange struct {
	Path string
	Old  string `json:",omitempty"`
	New  string `json:",omitempty"`
}

// Diff lists the entries that differ: first routes, then pools, then teams, then evacuations,
// each sorted by name.
func Diff(old, next parser.Tables) []Change {
	var out []Change
	for _, kin := range []Kind{Routes, Pools, Teams, Evacuations} {
		entryNames := append(Names(old, kin), Names(next, kin)...)
		slices.Sort(entryNames)
		for _, name := range slices.Compact(entryNames) {
			if cha, ok := diffEntry(old, next, kin, name); ok {
				out = append(out, cha)
			}
		}
	}
	return out
}

func diffEntry(old, next parser.Tables, kin Kind, name string) (Change, bool) {
	cha := Change{Kind: kin, Name: name, Action: Changed}
	before, err := Find(old, kin, name)
	if err != nil {
		cha.Action = Added
	}
	after, err := Find(next, kin, name)
	if err != nil {
		cha.Action = Removed
	}
	cha.Fields = diffFields(flatten(before), flatten(after))
	// An evacuation has no fields but its name.
	return cha, len(cha.Fields) > 0 || cha.Action != Changed
}

func diffFields(old, next map[string]string) []FieldChange {
	var out []FieldChange
	paths := append(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(next))...)
	slices.Sort(paths)
	for _, path := range slices.Compact(paths) {
		if path != "Name" && old[path] != next[path] {
			out = append(out, FieldChange{Path: path, Old: old[path], New: next[path]})
		}
	}
	return out
}

// flatten returns the JSON of an entry's fields, keyed by path such as Match.Model.
func flatten(ent any) map[string]string {
	out := map[string]string{}
	if ent == nil {
		return out
	}
	doc, err := json.Marshal(ent)
	if err != nil {
		return out
	}
	flattenInto(out, "", doc)
	return out
}

func flattenInto(out map[string]string, prefix string, doc json.RawMessage) {
	var obj map[string]json.RawMessage
	if json.Unmarshal(doc, &obj) != nil {
		out[prefix] = string(doc)
		return
	}
	for name, value := range obj {
		path := name
		if prefix != "" {
			path = prefix + "." + name
		}
		flattenInto(out, path, value)
	}
}
