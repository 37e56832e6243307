// Package parser defines, decodes and validates the tables of routes, pools and
// teams.
//
// The tables are one JSON document with field names in Pascal case. The document
// is stored as a single object on the platform, so that a single conditional write
// makes a change atomic.
package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"hemlockpin/connection/decoder"

	"github.com/rotisserie/eris"
)

// MaxDocumentBytes bounds the encoded tables; it is the platform's limit for the
// size of an object.
const MaxDocumentBytes = 1 << 20

// MaxRecentEdits bounds the number of edits in Tables.Recent.
const MaxRecentEdits = 32

// Duration is a time.Duration that is encoded as text such as "30s".
type Duration time.Duration

// MarshalText formats the duration.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// UnmarshalText parses a duration with its unit.
func (dur *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("bad duration %q: use a number with a unit, such as 30s", text)
	}
	*dur = Duration(parsed)
	return nil
}

// Tables is one revision of the routes, pools and teams.
type Tables struct {
	// Revision counts the accepted edits from 1. Revision 0 has no content.
	Revision uint64
	// Nonce identifies the edit that made the revision.
	Nonce string `json:",omitempty"`
	// Recent lists the latest edits, the newest last, so that a host can check
	// whether its edit was accepted even if other edits followed.
	Recent []Edit `json:",omitempty"`
	Routes []Route
	Pools  []Pool
	Teams  []Team
	// RequireKeys says that calls need the key of a team although there is no team, so that only
	// public calls are taken. Without it, forwarded calls need no key if there is no team.
	RequireKeys bool `json:",omitempty"`
	// Evacuations are the data centres whose endpoints get no new requests.
	Evacuations []Evacuation `json:",omitempty"`
	// Caller limits what callers of forwarded calls may send.
	Caller Limits `json:",omitzero"`
}

// Limits are bounds on the size of a caller's headers and body, on the time to send
// the headers and on the idle time of the connection. 0 means that the tables set no
// bound.
type Limits struct {
	MaxHeaderBytes int      `json:",omitempty"`
	MaxBodyBytes   int64    `json:",omitempty"`
	HeaderTimeout  Duration `json:",omitempty"`
	IdleTimeout    Duration `json:",omitempty"`
}

// Edit identifies an accepted edit.
type Edit struct {
	Revision uint64
	Nonce    string
	At       time.Time
}

// FaultsError lists every fault of a document.
type FaultsError struct{ Faults []string }

// Error formats the faults, one per line.
func (err *FaultsError) Error() string {
	return "tables rejected:\n  " + strings.Join(err.Faults, "\n  ")
}

// Parse decodes a document, fills in defaults and validates it.
func Parse(doc []byte) (Tables, error) {
	tab, err := Decode(doc)
	if err != nil {
		return tab, err
	}
	if err := tab.Validate(); err != nil {
		return Tables{}, err
	}
	return tab, nil
}

// Decode decodes a document and fills in defaults. It does not validate the
// entries; it is for documents that were validated when they were accepted.
func Decode(doc []byte) (Tables, error) {
	var tab Tables
	if len(doc) > MaxDocumentBytes {
		return tab, &FaultsError{[]string{fmt.Sprintf("document has %d bytes, the limit is %d", len(doc), MaxDocumentBytes)}}
	}
	dec := json.NewDecoder(bytes.NewReader(decoder.Normalize(doc)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&tab); err != nil {
		return Tables{}, &FaultsError{[]string{fmt.Sprintf("byte %d: %v", dec.InputOffset(), err)}}
	}
	if dec.More() {
		return Tables{}, &FaultsError{[]string{fmt.Sprintf("byte %d: text after the document", dec.InputOffset())}}
	}
	return tab.Defaults(), nil
}

// Encode formats the tables as a document.
func (tab Tables) Encode() ([]byte, error) {
	doc, err := json.Marshal(tab)
	return doc, eris.Wrap(err, "Tables.Encode")
}

// Defaults returns the tables with defaults for empty fields of all entries.
func (tab Tables) Defaults() Tables {
	out := Tables{Revision: tab.Revision, Nonce: tab.Nonce, Recent: tab.Recent, RequireKeys: tab.RequireKeys, Evacuations: tab.Evacuations, Caller: tab.Caller}
	for _, rou := range tab.Routes {
		out.Routes = append(out.Routes, rou.Defaults())
	}
	for _, poo := range tab.Pools {
		out.Pools = append(out.Pools, poo.Defaults())
	}
	for _, tea := range tab.Teams {
		out.Teams = append(out.Teams, tea.Defaults())
	}
	return out
}

// NeedsKey reports whether forwarded calls of a route need the key of a team.
func (tab Tables) NeedsKey(rou Route) bool {
	return !rou.Public && (tab.RequireKeys || len(tab.Teams) > 0)
}

// WithRevision returns the tables with another revision and nonce.
func (tab Tables) WithRevision(revision uint64, nonce string) Tables {
	tab.Revision = revision
	tab.Nonce = nonce
	return tab
}

// WithEdit returns the tables with the revision and nonce of edi, and with the recent
// edits of base followed by edi.
func (tab Tables) WithEdit(base Tables, edi Edit) Tables {
	recent := append(slices.Clone(base.Recent), edi)
	tab.Recent = recent[max(0, len(recent)-MaxRecentEdits):]
	return tab.WithRevision(edi.Revision, edi.Nonce)
}

// Includes reports whether the edit with the nonce made the given revision. known
// is false if the tables have a later revision and no longer list the edit of the
// given one.
func (tab Tables) Includes(revision uint64, nonce string) (included, known bool) {
	if tab.Nonce == nonce && tab.Revision == revision {
		return true, true
	}
	if revision > tab.Revision {
		return false, true
	}
	for _, edi := range tab.Recent {
		if edi.Revision == revision {
			return edi.Nonce == nonce, true
		}
	}
	// An edit with another nonce made the revision of the tables.
	return false, tab.Revision == revision
}

// Validate returns a FaultsError with every fault, or nil.
func (tab Tables) Validate() error {
	var faults []string
	kinds := map[string]PoolKind{}
	for _, poo := range tab.Pools {
		faults = append(faults, poo.Validate()...)
		if _, ok := kinds[poo.Name]; ok {
			faults = append(faults, fmt.Sprintf("pool %q: the name stands twice", poo.Name))
		}
		kinds[poo.Name] = poo.Kind
	}
	faults = append(faults, tab.validateRoutes(kinds)...)
	faults = append(faults, tab.validateTeams()...)
	faults = append(faults, tab.validateEvacuations()...)
	if len(faults) > 0 {
		return &FaultsError{faults}
	}
	return nil
}

func (tab Tables) validateRoutes(kinds map[string]PoolKind) []string {
	var faults []string
	found := map[string]bool{}
	for _, rou := range tab.Routes {
		faults = append(faults, rou.Validate()...)
		if found[rou.Name] {
			faults = append(faults, fmt.Sprintf("route %q: the name stands twice", rou.Name))
		}
		found[rou.Name] = true
		kin, ok := kinds[rou.Pool]
		if rou.Pool != "" && !ok {
			faults = append(faults, fmt.Sprintf("route %q: unknown pool %q", rou.Name, rou.Pool))
		}
		for _, sha := range rou.Split {
			if _, ok := kinds[sha.Pool]; !ok {
				faults = append(faults, fmt.Sprintf("route %q: unknown pool %q", rou.Name, sha.Pool))
			}
		}
		if kin == PoolService && rou.Match.isEngineOnly() {
			faults = append(faults, fmt.Sprintf("route %q: Model and prompt bounds are for routes to engine pools", rou.Name))
		}
	}
	return append(faults, ambiguityFaults(tab.Routes, kinds)...)
}

func (tab Tables) validateTeams() []string {
	var faults []string
	found := map[string]bool{}
	owners := map[string]string{}
	for _, tea := range tab.Teams {
		faults = append(faults, tea.Validate()...)
		if found[tea.Name] {
			faults = append(faults, fmt.Sprintf("team %q: the name stands twice", tea.Name))
		}
		found[tea.Name] = true
		for _, digest := range tea.KeyDigests {
			if other, ok := owners[digest]; ok {
				faults = append(faults, fmt.Sprintf("team %q: key digest is also that of team %q", tea.Name, other))
			}
			owners[digest] = tea.Name
		}
	}
	return faults
}

// validName reports whether a name has 1 to 63 bytes of a-z, 0-9 and -.
func validName(name string) bool {
	if name == "" || len(name) > 63 {
		return false
	}
	for _, char := range name {
		if (char < 'a' || char > 'z') && (char < '0' || char > '9') && char != '-' {
			return false
		}
	}
	return true
}
