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
// field holds text, else as JSON.
func Set(tab parser.Tables, kin Kind, name string, assignments []string) (parser.Tables, error) {
	ent, err := Find(tab, kin, name)
	if err != nil {
		return tab, err
	}
	doc, err := json.Marshal(ent)
	if err != nil {
		return tab, eris.Wrapf(err, "%s %q", kin, name)
	}
	for _, ass := range assignments {
		pat, val, ok := strings.Cut(ass, "=")
		if !ok {
			return tab, eris.Errorf("%q is not of the form FIELD=VALUE", ass)
		}
		if pat == "Name" {
			return tab, eris.New("Name cannot be set: add an entry under the new name and remove the old one")
		}
		if doc, err = assign(doc, kin, strings.Split(pat, "."), val); err != nil {
			return tab, eris.Wrapf(err, "%s", ass)
		}
	}
	return Put(tab, kin, doc)
}

// assign tries the value as text, then as JSON, and keeps what the entry's type takes.
func assign(doc []byte, kin Kind, path []string, value string) ([]byte, error) {
	txt, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	var fai error
	for _, raw := range []json.RawMessage{txt, json.RawMessage(value)} {
		if !json.Valid(raw) {
			continue
		}
		out, err := replace(doc, path, raw)
		if err != nil {
			return nil, err
		}
		err = takes(kin, out)
		if err == nil {
			return out, nil
		}
		// The fault of a text is told unless the field holds no text at all.
		if fai == nil || errors.As(fai, new(*json.UnmarshalTypeError)) {
			fai = err
		}
	}
	return nil, fai
}

func replace(doc []byte, path []string, raw json.RawMessage) ([]byte, error) {
	obj := map[string]json.RawMessage{}
	if len(doc) > 0 {
		if err := json.Unmarshal(doc, &obj); err != nil {
			return nil, errNoFields
		}
	}
	if len(path) > 1 {
		inn, err := replace(obj[path[0]], path[1:], raw)
		if errors.Is(err, errNoFields) {
			err = eris.Errorf("%s has no fields", path[0])
		}
		if err != nil {
			return nil, err
		}
		raw = inn
	}
	obj[path[0]] = raw
	return json.Marshal(obj)
}

func takes(kin Kind, doc []byte) error {
	_, err := Put(parser.Tables{}, kin, doc)
	return err
}

// Action is what happened to an entry between two versions.
type Action string

// Actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one entry between two versions of the tables.
type Change struct {
	Kind   Kind
	Name   string
	Action Action
	Fields []FieldChange `json:",omitempty"`
}

// FieldChange is the difference of one field. Old and New hold JSON; empty
// stands for an absent field.
type FieldChange struct {
	Path string
	Old  string `json:",omitempty"`
	New  string `json:",omitempty"`
}

// Diff lists the entries that differ, in the order routes, pools, teams and by
// name within each.
func Diff(old, cur parser.Tables) []Change {
	var out []Change
	for _, kin := range []Kind{Routes, Pools, Teams} {
		nams := append(Names(old, kin), Names(cur, kin)...)
		slices.Sort(nams)
		for _, nam := range slices.Compact(nams) {
			if cha, ok := diffEntry(old, cur, kin, nam); ok {
				out = append(out, cha)
			}
		}
	}
	return out
}

func diffEntry(old, cur parser.Tables, kin Kind, name string) (Change, bool) {
	cha := Change{Kind: kin, Name: name, Action: Changed}
	one, err := Find(old, kin, name)
	if err != nil {
		cha.Action = Added
	}
	two, err := Find(cur, kin, name)
	if err != nil {
		cha.Action = Removed
	}
	cha.Fields = diffFields(flatten(one), flatten(two))
	return cha, len(cha.Fields) > 0
}

func diffFields(old, cur map[string]string) []FieldChange {
	var out []FieldChange
	pats := append(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(cur))...)
	slices.Sort(pats)
	for _, pat := range slices.Compact(pats) {
		if pat != "Name" && old[pat] != cur[pat] {
			out = append(out, FieldChange{Path: pat, Old: old[pat], New: cur[pat]})
		}
	}
	return out
}

// flatten maps the paths of an entry's fields to their JSON.
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
	for nam, val := range obj {
		pat := nam
		if prefix != "" {
			pat = prefix + "." + nam
		}
		flattenInto(out, pat, val)
	}
}
