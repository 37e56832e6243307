package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// seedPullSpacing is the time between two pulls from seeds that did not answer, by all hosts
// of a large site together, if each of them takes its full share of the pause.
const seedPullSpacing = 200 * time.Millisecond

// pullLateSeeds asks the seeds that did not answer when this host joined for the members, until
// each has answered or is a live peer. Hosts that start at the same time and find each other in
// parts would otherwise know only their own part until syncInterval has passed. answered holds
// whether a peer has answered, by address.
func (gos *Gossiper) pullLateSeeds(ctx context.Context, interval time.Duration, answered map[string]bool) {
	start := time.Now()
	for {
		late := gos.lateSeeds(answered)
		if len(late) == 0 || ctx.Err() != nil {
			return
		}
		sleep(ctx, seedPause(interval, len(gos.Live(time.Now()))+1, rand.Float64()))
		for _, addr := range gos.lateSeeds(answered) {
			if answered[addr] = gos.pullMembers(ctx, addr); answered[addr] {
				gos.Log.Info().Str("Peer", addr).Dur("AfterMs", time.Since(start)).Msg("seed that had not answered at the join has answered")
			} else {
				gos.count("late_seeds_silent", nil)
			}
		}
	}
}

// lateSeeds returns the seeds that have not answered and are no live peers.
func (gos *Gossiper) lateSeeds(answered map[string]bool) []string {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	live := gos.livePeers()
	return slices.DeleteFunc(slices.Clone(gos.Seeds), func(addr string) bool {
		return answered[addr] || addr == gos.Self.GetAddress() || slices.ContainsFunc(live, func(per Peer) bool { return per.Address == addr })
	})
}

// seedPause returns the time until the next pull among a number of live hosts, of which each
// takes a random share.
func seedPause(interval time.Duration, hosts int, share float64) time.Duration {
	return max(interval, time.Duration(share*float64(hosts)*float64(seedPullSpacing)))
}
