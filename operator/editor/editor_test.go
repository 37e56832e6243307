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

// seed makes the random cases repeatable.
const seed = "20261204"

// TestEdits runs the edits of testdata/edits in sequence on the same tables and
// prints what each edit changes. An edit that fails must leave the tables unchanged.
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
	var kind, name string
	if len(dat.CmdArgs) > 0 {
		kind = dat.CmdArgs[0].Key
	}
	if len(dat.CmdArgs) > 1 {
		name = dat.CmdArgs[1].Key
	}
	switch dat.Cmd {
	case "merge":
		part, err := Decode([]byte(dat.Input))
		return Merge(tab, part), err
	case "put":
		return Put(tab, Kind(kind), []byte(dat.Input))
	case "set":
		return Set(tab, Kind(kind), name, strings.Split(dat.Input, "\n"))
	default:
		return Remove(tab, Kind(kind), name)
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
	for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, "names") {
		tab.Routes = append(tab.Routes, parser.Route{Name: name, Pool: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "pool"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
		tab.Pools = append(tab.Pools, parser.Pool{Name: name, MaxWaiting: rapid.IntRange(0, 2).Draw(t, "waiting")})
	}
	return tab
}

// TestMergeReplacesByName checks with random tables that a merge adds or replaces its entries,
// leaves the others unchanged and is idempotent.
func TestMergeReplacesByName(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", seed))
	rapid.Check(t, func(t *rapid.T) {
		old, part := drawTables(t), drawTables(t)
		cur := Merge(old, part)
		require.Empty(t, Diff(cur, Merge(cur, part)))
		for _, name := range Names(cur, Routes) {
			want, err := Find(part, Routes, name)
			if err != nil {
				want, err = Find(old, Routes, name)
			}
			require.NoError(t, err)
			got, err := Find(cur, Routes, name)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
		require.Equal(t, len(Diff(old, cur)) == 0, describe(Diff(old, cur)) == "no difference\n")
	})
}
