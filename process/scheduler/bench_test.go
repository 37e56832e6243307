package scheduler

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
)

// newCell returns a cell whose engines have sent their load reports.
func newCell(engines int, now time.Time) *Cell {
	cel := &Cell{}
	var lis Listing
	for i := range engines {
		lis.Engines = append(lis.Engines, placer.Endpoint{ID: fmt.Sprintf("e%d", i), Models: []string{"m"}})
	}
	cel.Next(lis, now)
	for _, end := range lis.Engines {
		cel.Next(Report{end.ID, invoker.Load{MemoryTokens: 400_000, PrefillRate: 200_000, StepMs: 10}}, now)
	}
	return cel
}

// BenchmarkGrant runs one request through the cell: request, first token, release.
func BenchmarkGrant(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		for _, engines := range []int{16, 64} {
			b.Run(fmt.Sprintf("waiting=%d/engines=%d", waiting, engines), func(b *testing.B) {
				now := epoch
				cel := newCell(engines, now)
				for i := range waiting {
					cel.Next(Request{ID: "w" + strconv.Itoa(i), Request: placer.Request{Team: "t" + strconv.Itoa(i%20), Model: "m", PromptTokens: 399_000, MaxTokens: 100, Deadline: now.Add(24 * time.Hour)}}, now)
				}
				prefix := make([]uint64, 4)
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					n++
					id := strconv.Itoa(n)
					cel.Next(Request{ID: id, Request: placer.Request{ID: id, Team: "u", Model: "m", PromptTokens: 4000, MaxTokens: 100, Prefix: prefix, Deadline: now.Add(time.Minute)}}, now)
					cel.Next(Prefilled{id}, now)
					cel.Next(Release{id}, now)
				}
			})
		}
	}
}
