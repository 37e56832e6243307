package publisher

import (
	"fmt"
	"testing"
	"time"

	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// fullTables returns 5,000 routes over 980 teams. firstLimit is the time limit of the first
// route in seconds.
func fullTables(firstLimit int) parser.Tables {
	tab := parser.Tables{Pools: []parser.Pool{{Name: "p", Kind: parser.PoolEngine, Selector: parser.Selector{Service: "s"}}}}
	for i := range 980 {
		tab.Teams = append(tab.Teams, parser.Team{Name: fmt.Sprintf("team-%d", i), KeyDigests: []string{parser.DigestKey(fmt.Sprint(i))}})
	}
	for i := range 5000 {
		limit := time.Second
		if i == 0 {
			limit = time.Duration(firstLimit) * time.Second
		}
		tab.Routes = append(tab.Routes, parser.Route{
			Name: fmt.Sprintf("route-%d", i), Pool: "p", TimeLimit: parser.Duration(limit),
			Match: parser.Match{Model: fmt.Sprintf("m-%d", i/980), Team: fmt.Sprintf("team-%d", i%980)},
		})
	}
	return tab.Defaults()
}

// BenchmarkReceive measures how a host receives an edit of one route, as a delta and
// as a full document.
func BenchmarkReceive(b *testing.B) {
	src, dst := &Publisher{}, &Publisher{}
	first := fullTables(1).WithRevision(1, "n")
	_, err := src.Adopt(first)
	require.NoError(b, err)
	_, err = src.Adopt(fullTables(2).WithEdit(first, parser.Edit{Revision: 2, Nonce: "n"}))
	require.NoError(b, err)
	_, err = dst.Adopt(first)
	require.NoError(b, err)
	base := dst.current.Load()
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("whole %t", full), func(b *testing.B) {
			pus := src.Offer(1, full)
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
