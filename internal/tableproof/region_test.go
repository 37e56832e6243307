package tableproof_test

import (
	"testing"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// Two hosts of each region watch the platform. A region that is cut off from the
// platform must receive an edit from peers in the other region.
func TestRegions(t *testing.T) {
	fle := startFleet(t, testkit.Plan{
		Hosts: 7, PlatformArgs: []string{"--list-lag", "200ms"},
		HostArgsFor: func(i int) []string { return []string{"--region", []string{"western", "mu-island"}[i%2]} },
	})
	defer fle.watchRevisions()()
	watching := func() (watchers [2]int) {
		for i, host := range fle.Hosts {
			if fle.status(host).TablesWatched {
				watchers[i%2]++
			}
		}
		return watchers
	}
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return watching() == [2]int{2, 2} }))
	for i, lin := range fle.platforms {
		if i%2 == 1 {
			lin.Cut()
		}
	}
	out, err := fle.Edit(t.Context(), 0, tablesWithMark(9), 1)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, fle.Hosts...)

	// All watchers but host-0 and host-1 are killed. Other hosts must take over,
	// and an edit must be in force within the bound.
	for _, host := range fle.Hosts[2:] {
		if fle.status(host).TablesWatched {
			host.Kill()
		}
	}
	var left []*testkit.Process
	for _, host := range fle.Hosts {
		if fle.status(host).Host != "" {
			left = append(left, host)
		}
	}
	out, err = fle.Edit(t.Context(), 0, tablesWithMark(10), out.Revision)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, left...)
}
