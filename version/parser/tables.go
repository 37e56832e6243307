// Package parser defines the tables of routes, pools and teams, and checks them.
//
// The tables are one JSON document with Pascal-case fields. It is kept as one
// object of the platform, so that one conditional write accepts a change whole.
package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// MaxDocumentBytes bounds the encoded tables; it is the platform's limit of a value.
const MaxDocumentBytes = 1 << 20

// MaxRecentEdits bounds the edits that the tables list.
const MaxRecentEdits = 32

// Duration is a time.Duration that reads and writes as text such as "30s".
type Duration time.Duration

// MarshalText formats the duration.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// UnmarshalText parses a duration with its unit.
func (dur *Duration) UnmarshalText(txt []byte) error {
	val, err := time.ParseDuration(string(txt))
	if err != nil {
		return eris.Errorf("bad duration %q: use a number with a unit, such as 30s", txt)
	}
	*dur = Duration(val)
	return nil
}

// Tables is one revision of the routes, pools and teams.
type Tables struct {
	// Revision counts the accepted changes from 1. Revision 0 has no content.
	Revision uint64
	// Nonce identifies the edit that made the revision.
	Nonce string `json:",omitempty"`
	// Recent lists the last edits, the newest last, so that an edit can be found
	// also when later ones were accepted on top of it.
	Recent []Edit `json:",omitempty"`
	Routes []Route
	Pools  []Pool
	Teams  []Team
	// Caller bounds what callers of forwarded calls may send.
	Caller Limits `json:",omitzero"`
}

// Limits bound what a caller may send, and how long it may take; 0 stands for
// no bound of the tables.
type Limits struct {
	MaxHeaderBytes int      `json:",omitempty"`
	MaxBodyBytes   int64    `json:",omitempty"`
	HeaderTimeout  Duration `json:",omitempty"`
	IdleTimeout    Duration `json:",omitempty"`
}

// Edit identifies an accepted change.
type Edit struct {
	Revision uint64
	Nonce    string
	At       time.Time
}

// FaultsError lists every fault of a tables document.
type FaultsError struct{ Faults []string }

// Error joins the faults, a line each.
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

// Decode decodes a document that was validated when it was accepted, and fills
// in defaults.
func Decode(doc []byte) (Tables, error) {
	var tab Tables
	if len(doc) > MaxDocumentBytes {
		return tab, &FaultsError{[]string{fmt.Sprintf("document has %d bytes, the limit is %d", len(doc), MaxDocumentBytes)}}
	}
	dec := json.NewDecoder(bytes.NewReader(doc))
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

// Defaults fills in the fields left empty.
func (tab Tables) Defaults() Tables {
	out := Tables{Revision: tab.Revision, Nonce: tab.Nonce, Recent: tab.Recent, Caller: tab.Caller}
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

// WithRevision returns the tables under another revision and nonce.
func (tab Tables) WithRevision(revision uint64, nonce string) Tables {
	tab.Revision = revision
	tab.Nonce = nonce
	return tab
}

// WithEdit returns the tables as the successor of a revision.
func (tab Tables) WithEdit(bas Tables, edi Edit) Tables {
	rec := append(slices.Clone(bas.Recent), edi)
	tab.Recent = rec[max(0, len(rec)-MaxRecentEdits):]
	return tab.WithRevision(edi.Revision, edi.Nonce)
}

// Includes reports whether the edit with a nonce made this revision or an
// earlier one. known is false when the revision is no longer listed.
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
	return false, tab.Revision == revision
}

// Validate returns a FaultsError with every fault, or nil.
func (tab Tables) Validate() error {
	var fas []string
	poos := map[string]PoolKind{}
	for _, poo := range tab.Pools {
		fas = append(fas, poo.Validate()...)
		if _, ok := poos[poo.Name]; ok {
			fas = append(fas, fmt.Sprintf("pool %q: the name stands twice", poo.Name))
		}
		poos[poo.Name] = poo.Kind
	}
	fas = append(fas, tab.validateRoutes(poos)...)
	fas = append(fas, tab.validateTeams()...)
	if len(fas) > 0 {
		return &FaultsError{fas}
	}
	return nil
}

func (tab Tables) validateRoutes(poos map[string]PoolKind) []string {
	var fas []string
	nams := map[string]bool{}
	for _, rou := range tab.Routes {
		fas = append(fas, rou.Validate()...)
		if nams[rou.Name] {
			fas = append(fas, fmt.Sprintf("route %q: the name stands twice", rou.Name))
		}
		nams[rou.Name] = true
		kin, ok := poos[rou.Pool]
		if rou.Pool != "" && !ok {
			fas = append(fas, fmt.Sprintf("route %q: unknown pool %q", rou.Name, rou.Pool))
		}
		for _, sha := range rou.Split {
			if _, ok := poos[sha.Pool]; !ok {
				fas = append(fas, fmt.Sprintf("route %q: unknown pool %q", rou.Name, sha.Pool))
			}
		}
		if kin == PoolService && rou.Match.forPrompts() {
			fas = append(fas, fmt.Sprintf("route %q: Model and prompt bounds are for routes to engine pools", rou.Name))
		}
	}
	return append(fas, ambiguities(tab.Routes, poos)...)
}

func (tab Tables) validateTeams() []string {
	var fas []string
	nams := map[string]bool{}
	digs := map[string]string{}
	for _, tea := range tab.Teams {
		fas = append(fas, tea.Validate()...)
		if nams[tea.Name] {
			fas = append(fas, fmt.Sprintf("team %q: the name stands twice", tea.Name))
		}
		nams[tea.Name] = true
		for _, dig := range tea.KeyDigests {
			if oth, ok := digs[dig]; ok {
				fas = append(fas, fmt.Sprintf("team %q: key digest is also that of team %q", tea.Name, oth))
			}
			digs[dig] = tea.Name
		}
	}
	return fas
}

func validName(nam string) bool {
	if nam == "" || len(nam) > 63 {
		return false
	}
	for _, cha := range nam {
		if (cha < 'a' || cha > 'z') && (cha < '0' || cha > '9') && cha != '-' {
			return false
		}
	}
	return true
}
