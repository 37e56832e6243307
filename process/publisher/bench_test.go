package publisher

import (
	"fmt"
	"testing"
	"time"

	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// fullTables returns 5,000 routes over 980 teams, with a mark in the first one.
func fullTables(mark int) parser.Tables {
	tab := parser.Tables{Pools: []parser.Pool{{Name: "p", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}}}
	for ind := range 980 {
		tab.Teams = append(tab.Teams, parser.Team{Name: fmt.Sprintf("team-%d", ind), KeyDigests: []string{parser.DigestKey(fmt.Sprint(ind))}})
	}
	for ind := range 5000 {
		lim := time.Second
		if ind == 0 {
			lim = time.Duration(mark) * time.Second
		}
		tab.Routes = append(tab.Routes, parser.Route{
			Name: fmt.Sprintf("route-%d", ind), Pool: "p", TimeLimit: parser.Duration(lim),
			Match: parser.Match{Model: fmt.Sprintf("m-%d", ind/980), Team: fmt.Sprintf("team-%d", ind%980)},
		})
	}
	return tab.Defaults()
}

// BenchmarkReceive is what a host does for an edit of one route: it takes the
// change, or the whole document.
func BenchmarkReceive(b *testing.B) {
	src, dst := &Publisher{}, &Publisher{}
	one := fullTables(1).WithRevision(1, "n")
	_, err := src.Accept(one)
	require.NoError(b, err)
	_, err = src.Accept(fullTables(2).WithEdit(one, parser.Edit{Revision: 2, Nonce: "n"}))
	require.NoError(b, err)
	_, err = dst.Accept(one)
	require.NoError(b, err)
	base := dst.current.Load()
	for _, whole := range []bool{false, true} {
		b.Run(fmt.Sprintf("whole %t", whole), func(b *testing.B) {
			pus := src.Offer(1, whole)
			b.ReportAllocs()
			for b.Loop() {
				dst.current.Store(base)
				ack, err := dst.Receive(pus)
				require.NoError(b, err)
				require.Equal(b, uint64(2), ack.GetRevision())
			}
			b.ReportMetric(float64(len(pus.GetDelta())+len(pus.GetDocument())), "bytes/message")
		})
	}
}
