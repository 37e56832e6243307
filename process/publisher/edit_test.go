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
	base     = 7
	ownNonce = "mine"
)

// tablesAt returns the tables of a revision whose edits have the given nonces,
// oldest first.
func tablesAt(revision uint64, nonces ...string) parser.Tables {
	var tab parser.Tables
	for i, nonce := range nonces {
		rev := revision - uint64(len(nonces)-1-i)
		tab = tab.WithEdit(tab, parser.Edit{Revision: rev, Nonce: nonce})
	}
	return tab
}

// editEvents are the events of the matrix, in the order of the data file. Mine is the edit
// under test, Others an edit of another operator. Below means that later edits were made on
// top of it, MuchLater that the recent edits no longer reach back to it.
var editEvents = []struct {
	name  string
	event EditEvent
}{
	{"Begun", Begun{}},
	{"ReadBase", StoreRead{Tables: tablesAt(base, "old"), Version: 70}},
	{"ReadLagging", StoreRead{Tables: tablesAt(base-1, "older"), Version: 60}},
	{"ReadNone", StoreRead{}},
	{"ReadOthers", StoreRead{Tables: tablesAt(base+1, "old", "theirs"), Version: 80}},
	{"ReadMine", StoreRead{Tables: tablesAt(base+1, "old", ownNonce), Version: 80}},
	{"ReadMineBelow", StoreRead{Tables: tablesAt(base+3, "old", ownNonce, "b", "c"), Version: 90}},
	{"ReadOthersBelow", StoreRead{Tables: tablesAt(base+3, "old", "a", "b", "c"), Version: 90}},
	{"ReadMuchLater", StoreRead{Tables: tablesAt(base+50, "x", "y"), Version: 99}},
	{"ReadFailed", StoreRead{Err: persister.ErrUnavailable}},
	{"Kept", HistoryWritten{}},
	{"KeepFailed", HistoryWritten{Err: persister.ErrUnavailable}},
	{"Wrote", StoreWritten{}},
	{"WroteConflict", StoreWritten{Err: persister.ErrConflict}},
	{"WroteNoAnswer", StoreWritten{Err: eris.New("connection lost")}},
	{"WroteUnavailable", StoreWritten{Err: persister.ErrUnavailable}},
	{"WroteTooLarge", StoreWritten{Err: persister.ErrTooLarge}},
	{"WroteRateLimited", StoreWritten{Err: persister.ErrRateLimited}},
	{"SpreadNoPeers", BroadcastDone{}},
	{"SpreadNone", BroadcastDone{Offered: 3}},
	{"SpreadSome", BroadcastDone{Offered: 3, Adopted: 2}},
	{"Elapsed", TimedOut{}},
}

// editSteps holds the events that bring an edit to each step.
var editSteps = map[string][]EditEvent{
	"New":         nil,
	"Reading":     {Begun{}},
	"Keeping":     {Begun{}, StoreRead{Tables: tablesAt(base, "old"), Version: 70}},
	"Writing":     {Begun{}, StoreRead{Tables: tablesAt(base, "old"), Version: 70}, HistoryWritten{}},
	"ReadingBack": {Begun{}, StoreRead{Tables: tablesAt(base, "old"), Version: 70}, HistoryWritten{}, StoreWritten{Err: persister.ErrConflict}},
	"Spreading":   {Begun{}, StoreRead{Tables: tablesAt(base, "old"), Version: 70}, HistoryWritten{}, StoreWritten{}},
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

// TestEditMatrix applies every event at every step of an edit. It guards against an edit
// that ends as Raced or NotAccepted although its write may take effect, or as Accepted
// although it did not. The data file has a directive for each step and each state of the
// tables in force on the host.
func TestEditMatrix(t *testing.T) {
	knownTables := map[string]parser.Tables{
		"nothing": {}, "older": tablesAt(base-1, "older"), "base": tablesAt(base, "old"), "newer": tablesAt(base+1, "old", "theirs"),
	}
	seen := map[string]bool{}
	datadriven.RunTest(t, "testdata/edit", func(t *testing.T, dat *datadriven.TestData) string {
		var step, known string
		dat.ScanArgs(t, "step", &step)
		dat.ScanArgs(t, "known", &known)
		require.False(t, seen[step+known], "duplicate cell")
		seen[step+known] = true
		var out strings.Builder
		for _, tc := range editEvents {
			sta := EditState{Edit: parser.Edit{Revision: base + 1, Nonce: ownNonce}, Known: knownTables[known]}
			for _, eve := range editSteps[step] {
				sta, _ = sta.Next(eve)
			}
			_, act := sta.Next(tc.event)
			fmt.Fprintf(&out, "%s: %s\n", tc.name, describeAction(act))
		}
		return out.String()
	})
	for step := range editSteps {
		for known := range knownTables {
			require.True(t, seen[step+known] || (known == "newer" && len(editSteps[step]) > 1), "no cell for step %s, known %s", step, known)
		}
	}
}
