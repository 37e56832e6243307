package publisher

import (
	"fmt"
	"strings"
	"testing"

	"hemlockpin/connection/persister"
	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

const (
	base = 7
	mine = "mine"
)

// at returns the tables of a revision whose edits have the given nonces, the
// oldest first.
func at(revision uint64, nonces ...string) parser.Tables {
	var tab parser.Tables
	for ind, non := range nonces {
		rev := revision - uint64(len(nonces)-1-ind)
		tab = tab.WithEdit(tab, parser.Edit{Revision: rev, Nonce: non})
	}
	return tab
}

// editEvents are the events of the matrix, in the order of the data file.
var editEvents = []struct {
	name  string
	event EditEvent
}{
	{"Begun", Begun{}},
	{"ReadBase", Read{Tables: at(base, "old"), Version: 70}},
	{"ReadLagging", Read{Tables: at(base-1, "older"), Version: 60}},
	{"ReadNone", Read{}},
	{"ReadOthers", Read{Tables: at(base+1, "old", "theirs"), Version: 80}},
	{"ReadMine", Read{Tables: at(base+1, "old", mine), Version: 80}},
	{"ReadMineBelow", Read{Tables: at(base+3, "old", mine, "b", "c"), Version: 90}},
	{"ReadOthersBelow", Read{Tables: at(base+3, "old", "a", "b", "c"), Version: 90}},
	{"ReadMuchLater", Read{Tables: at(base+50, "x", "y"), Version: 99}},
	{"ReadFailed", Read{Err: persister.ErrUnavailable}},
	{"Kept", HistoryWritten{}},
	{"KeepFailed", HistoryWritten{Err: persister.ErrUnavailable}},
	{"Wrote", Wrote{}},
	{"WroteConflict", Wrote{Err: persister.ErrConflict}},
	{"WroteNoAnswer", Wrote{Err: eris.New("connection lost")}},
	{"WroteUnavailable", Wrote{Err: persister.ErrUnavailable}},
	{"WroteTooLarge", Wrote{Err: persister.ErrTooLarge}},
	{"WroteRateLimited", Wrote{Err: persister.ErrRateLimited}},
	{"SpreadNoPeers", BroadcastDone{}},
	{"SpreadNone", BroadcastDone{Asked: 3}},
	{"SpreadSome", BroadcastDone{Asked: 3, Confirmed: 2}},
	{"Elapsed", TimedOut{}},
}

var editSteps = map[string][]EditEvent{
	"New":         nil,
	"Reading":     {Begun{}},
	"Keeping":     {Begun{}, Read{Tables: at(base, "old"), Version: 70}},
	"Writing":     {Begun{}, Read{Tables: at(base, "old"), Version: 70}, HistoryWritten{}},
	"ReadingBack": {Begun{}, Read{Tables: at(base, "old"), Version: 70}, HistoryWritten{}, Wrote{Err: persister.ErrConflict}},
	"Spreading":   {Begun{}, Read{Tables: at(base, "old"), Version: 70}, HistoryWritten{}, Wrote{}},
}

func describeAction(act EditAction) string {
	switch act := act.(type) {
	case WriteHistory:
		return fmt.Sprintf("keep history of %d", act.Tables.Revision)
	case WriteStore:
		return fmt.Sprintf("write %d over version %d", act.Tables.Revision, act.Version)
	case BroadcastTables:
		return fmt.Sprintf("spread %d", act.Tables.Revision)
	case ReadStore:
		return "read"
	case ReadAgain:
		return "read again"
	case Finish:
		return fmt.Sprintf("finish %s, revision %d, in force on %d", act.Result, act.Tables.Revision, act.InForce)
	default:
		return fmt.Sprintf("%T", act)
	}
}

// TestEditMatrix runs every event at every step of an edit. The data file holds
// a directive for each step and for what the host had in force.
func TestEditMatrix(t *testing.T) {
	knowns := map[string]parser.Tables{
		"nothing": {}, "older": at(base-1, "older"), "base": at(base, "old"), "newer": at(base+1, "old", "theirs"),
	}
	see := map[string]bool{}
	datadriven.RunTest(t, "testdata/edit", func(t *testing.T, dat *datadriven.TestData) string {
		var ste, kno string
		dat.ScanArgs(t, "step", &ste)
		dat.ScanArgs(t, "known", &kno)
		require.False(t, see[ste+kno], "the cell stands twice")
		see[ste+kno] = true
		var bui strings.Builder
		for _, one := range editEvents {
			sta := EditState{Edit: parser.Edit{Revision: base + 1, Nonce: mine}, Known: knowns[kno]}
			for _, eve := range editSteps[ste] {
				sta, _ = sta.Next(eve)
			}
			_, act := sta.Next(one.event)
			fmt.Fprintf(&bui, "%s: %s\n", one.name, describeAction(act))
		}
		return bui.String()
	})
	for ste := range editSteps {
		for kno := range knowns {
			require.True(t, see[ste+kno] || (kno == "newer" && len(editSteps[ste]) > 1), "no cell for step %s, known %s", ste, kno)
		}
	}
}
