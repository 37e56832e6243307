package parser_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// TestParse runs the documents of testdata/parse. An accepted document must be
// the same after encoding and parsing; a rejected one must list all its faults.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, dat *datadriven.TestData) string {
		tab, err := parser.Parse([]byte(dat.Input))
		var invalid *parser.FaultsError
		if eris.As(err, &invalid) {
			require.Zero(t, tab.Routes, "a rejected document gives no tables")
			return strings.Join(invalid.Faults, "\n")
		}
		require.NoError(t, err)
		doc, err := tab.Encode()
		require.NoError(t, err)
		again, err := parser.Parse(doc)
		require.NoError(t, err)
		require.Equal(t, tab, again)
		return fmt.Sprintf("accepted: %d routes, %d pools, %d teams", len(tab.Routes), len(tab.Pools), len(tab.Teams))
	})
}

// TestDocumentTooLarge checks that a document over the platform's limit is rejected.
func TestDocumentTooLarge(t *testing.T) {
	_, err := parser.Parse(make([]byte, parser.MaxDocumentBytes+1))
	require.ErrorContains(t, err, "the limit is 1048576")
}

// matches returns all combinations of a few models, teams, paths and prompt bounds.
func matches() []parser.Match {
	var out []parser.Match
	for _, model := range []string{"", "m", "n"} {
		for _, team := range []string{"", "t", "u"} {
			for _, path := range []string{"", "/", "/a", "/a/", "/a/b", "/ab"} {
				for _, bounds := range [][2]int64{{0, 0}, {0, 10}, {5, 20}, {11, 0}} {
					out = append(out, parser.Match{Model: model, Team: team, PathPrefix: path, MinPromptTokens: bounds[0], MaxPromptTokens: bounds[1]})
				}
			}
		}
	}
	return out
}

// TestValidateFindsAmbiguousPairs checks that Validate, which compares only routes of
// shared buckets, rejects a pair of routes if and only if Match.Ambiguous reports it.
func TestValidateFindsAmbiguousPairs(t *testing.T) {
	mats := matches()
	pool := parser.Pool{Name: "p", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}.Defaults()
	for i, mat := range mats {
		for _, other := range mats[i:] {
			tab := parser.Tables{Pools: []parser.Pool{pool}, Routes: []parser.Route{
				parser.Route{Name: "one", Match: mat, Pool: "p"}.Defaults(), parser.Route{Name: "two", Match: other, Pool: "p"}.Defaults(),
			}}
			require.Equal(t, mat.Ambiguous(other), tab.Validate() != nil, "%+v against %+v", mat, other)
		}
	}
}

// tablesOf5000Routes returns tables with 5,000 routes over 6 models and 980 teams.
func tablesOf5000Routes() parser.Tables {
	tab := parser.Tables{Pools: []parser.Pool{{Name: "p", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}}}
	for i := range 980 {
		tab.Teams = append(tab.Teams, parser.Team{Name: fmt.Sprintf("team-%d", i), KeyDigests: []string{parser.DigestKey(fmt.Sprint(i))}})
	}
	for i := range 5000 {
		tab.Routes = append(tab.Routes, parser.Route{
			Name: fmt.Sprintf("route-%d", i), Pool: "p", TimeLimit: parser.Duration(time.Second),
			Match: parser.Match{Model: fmt.Sprintf("m-%d", i/980), Team: fmt.Sprintf("team-%d", i%980)},
		})
	}
	return tab.Defaults()
}

func BenchmarkValidate5000Routes(b *testing.B) {
	tab := tablesOf5000Routes()
	for b.Loop() {
		require.NoError(b, tab.Validate())
	}
}

func BenchmarkParse5000Routes(b *testing.B) {
	doc, err := tablesOf5000Routes().Encode()
	require.NoError(b, err)
	b.ReportMetric(float64(len(doc)), "document-bytes")
	for b.Loop() {
		_, err := parser.Parse(doc)
		require.NoError(b, err)
	}
}

// FuzzParse checks that an accepted document is accepted again after encoding, and
// that the second encoding equals the first.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Revision":1,"Routes":[{"Name":"a","Match":{"Model":"m"},"Pool":"p","TimeLimit":"30s"}],"Pools":[{"Name":"p","Kind":"Engine","Selector":{"Service":"s"}}],"Teams":null}`))
	f.Add([]byte(`{"Routes":[{"Name":"a","Match":{"PathPrefix":"/a//b"},"Pool":"p"}],"Pools":[{"Name":"p","Kind":"Service","Selector":{"Service":"s"}}]}`))
	f.Add([]byte(`{"Teams":[{"Name":"t","KeyDigests":["00"],"Share":-1}]} {}`))
	f.Add([]byte(`{"Recent":[{"Revision":1,"Nonce":"n","At":"2026-01-02T03:04:05Z"}]}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		tab, err := parser.Parse(doc)
		if err != nil {
			return
		}
		out, err := tab.Encode()
		require.NoError(t, err)
		if len(out) > parser.MaxDocumentBytes {
			return
		}
		again, err := parser.Parse(out)
		require.NoError(t, err)
		twice, err := again.Encode()
		require.NoError(t, err)
		require.Equal(t, string(out), string(twice))
	})
}
