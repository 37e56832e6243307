package editor

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// seed fixes the drawn cases.
const seed = "20261204"

// TestEdits runs the edits of testdata/edits one after the other on one version
// of the tables, and prints what each changed.
func TestEdits(t *testing.T) {
	var tab parser.Tables
	datadriven.RunTest(t, "testdata/edits", func(t *testing.T, dat *datadriven.TestData) string {
		cur, err := edit(tab, dat)
		if err != nil {
			return "error: " + err.Error() + "\n"
		}
		out := describe(Diff(tab, cur))
		tab = cur
		return out
	})
}

func edit(tab parser.Tables, dat *datadriven.TestData) (parser.Tables, error) {
	var kin, nam string
	if len(dat.CmdArgs) > 0 {
		kin = dat.CmdArgs[0].Key
	}
	if len(dat.CmdArgs) > 1 {
		nam = dat.CmdArgs[1].Key
	}
	switch dat.Cmd {
	case "merge":
		part, err := Decode([]byte(dat.Input))
		return Merge(tab, part), err
	case "put":
		return Put(tab, Kind(kin), []byte(dat.Input))
	case "set":
		return Set(tab, Kind(kin), nam, strings.Split(dat.Input, "\n"))
	default:
		return Remove(tab, Kind(kin), nam)
	}
}

func describe(chas []Change) string {
	out := "no difference\n"
	if len(chas) > 0 {
		out = ""
	}
	for _, cha := range chas {
		out += fmt.Sprintf("%s %s %s\n", cha.Kind, cha.Name, cha.Action)
		for _, fie := range cha.Fields {
			out += fmt.Sprintf("  %s: %s -> %s\n", fie.Path, fie.Old, fie.New)
		}
	}
	return out
}

func drawTables(t *rapid.T) parser.Tables {
	var tab parser.Tables
	for _, nam := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, "names") {
		tab.Routes = append(tab.Routes, parser.Route{Name: nam, Pool: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "pool"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
		tab.Pools = append(tab.Pools, parser.Pool{Name: nam, MaxWaiting: rapid.IntRange(0, 2).Draw(t, "waiting")})
	}
	return tab
}

// TestMergeLaws checks that a merge puts its entries in place, leaves the
// others and changes nothing the second time, whatever the tables.
func TestMergeLaws(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", seed))
	rapid.Check(t, func(t *rapid.T) {
		old, part := drawTables(t), drawTables(t)
		cur := Merge(old, part)
		require.Empty(t, Diff(cur, Merge(cur, part)))
		for _, nam := range Names(cur, Routes) {
			want, err := Find(part, Routes, nam)
			if err != nil {
				want, err = Find(old, Routes, nam)
			}
			require.NoError(t, err)
			got, err := Find(cur, Routes, nam)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
		require.Equal(t, len(Diff(old, cur)) == 0, describe(Diff(old, cur)) == "no difference\n")
	})
}
