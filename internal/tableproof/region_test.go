package tableproof_test

import (
	"testing"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// Each region has few watchers of the platform. A region that is cut off from
// the platform gets an edit from its peers.
func TestRegions(t *testing.T) {
	fle := start(t, testkit.Plan{
		Hosts: 7, PlatformArgs: []string{"--list-lag", "200ms"},
		HostArgsFor: func(ind int) []string { return []string{"--region", []string{"western", "mu-island"}[ind%2]} },
	})
	defer fle.watchRevisions()()
	watching := func() (num [2]int) {
		for ind, hos := range fle.Hosts {
			if fle.status(hos).TablesWatched {
				num[ind%2]++
			}
		}
		return num
	}
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return watching() == [2]int{2, 2} }))
	for ind, lin := range fle.platforms {
		if ind%2 == 1 {
			lin.Cut()
		}
	}
	out, err := fle.Edit(t.Context(), 0, tables(9), 1)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, fle.Hosts...)

	// Both watchers of a region die; others take over within the bound.
	for _, hos := range fle.Hosts[2:] {
		if fle.status(hos).TablesWatched {
			hos.Kill()
		}
	}
	var left []*testkit.Process
	for _, hos := range fle.Hosts {
		if fle.status(hos).Host != "" {
			left = append(left, hos)
		}
	}
	out, err = fle.Edit(t.Context(), 0, tables(10), out.Revision)
	require.NoError(t, err)
	fle.waitRevision(out.Revision, inForceBound, left...)
}
