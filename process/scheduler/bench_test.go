package scheduler

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/placer"
)

// newCell returns a cell whose engines have reported.
func newCell(engines int, now time.Time) *Cell {
	cel := &Cell{}
	var lis Listing
	for ind := range engines {
		lis.Engines = append(lis.Engines, placer.Endpoint{ID: fmt.Sprintf("e%d", ind), Models: []string{"m"}})
	}
	cel.Next(lis, now)
	for _, end := range lis.Engines {
		cel.Next(Report{end.ID, invoker.Load{MemoryTokens: 400_000, PrefillRate: 200_000, StepMs: 10}}, now)
	}
	return cel
}

// BenchmarkGrant takes one request through the cell: ask, first token, release.
func BenchmarkGrant(b *testing.B) {
	for _, wai := range []int{0, 100, 1000} {
		for _, cou := range []int{16, 64} {
			b.Run(fmt.Sprintf("waiting=%d/engines=%d", wai, cou), func(b *testing.B) {
				now := epoch
				cel := newCell(cou, now)
				for ind := range wai {
					cel.Next(Request{ID: "w" + strconv.Itoa(ind), Request: placer.Request{Team: "t" + strconv.Itoa(ind%20), Model: "m", PromptTokens: 399_000, MaxTokens: 100, Deadline: now.Add(24 * time.Hour)}}, now)
				}
				pre := make([]uint64, 4)
				b.ReportAllocs()
				num := 0
				for b.Loop() {
					num++
					id := strconv.Itoa(num)
					cel.Next(Request{ID: id, Request: placer.Request{ID: id, Team: "u", Model: "m", PromptTokens: 4000, MaxTokens: 100, Prefix: pre, Deadline: now.Add(time.Minute)}}, now)
					cel.Next(Prefilled{id}, now)
					cel.Next(Release{id}, now)
				}
			})
		}
	}
}
