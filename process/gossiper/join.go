package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockpin/connection/messenger"
)

const (
	// syncInterval is the mean time between two syncs of a host that has joined.
	syncInterval = 2 * time.Minute
	// joinPeers is the number of peers from which a starting host pulls the tables,
	// so that it does not start with the old revision of a single lagging peer.
	joinPeers = 3
	// joinTimeout is how long a starting host waits for an answer of any peer.
	joinTimeout = 2 * time.Second
)

// Joined reports whether the host has pulled the members and the newest tables from
// several peers, or has found that no peer answers.
func (gos *Gossiper) Joined() bool {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.joined
}

// runSync pulls the members and tables at the start, and later at long intervals to
// make up for missed updates.
func (gos *Gossiper) runSync(ctx context.Context, interval time.Duration) {
	deadline := time.Now().Add(joinTimeout)
	answered := map[string]bool{}
	for ctx.Err() == nil && !gos.joinStep(ctx, answered, time.Now().After(deadline)) {
		sleep(ctx, interval/4)
	}
	var gro sync.WaitGroup
	defer gro.Wait()
	gro.Go(func() { gos.pullLateSeeds(ctx, interval, answered) })
	for ctx.Err() == nil {
		wait := syncInterval/2 + rand.N(syncInterval)
		if !gos.syncAny(ctx) {
			wait = interval
		}
		sleep(ctx, wait)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// joinStep syncs from peers that were not attempted yet. answered holds whether the peer
// answered, for each attempted address. joinStep reports whether the host has joined: enough
// peers have answered, or all known peers were attempted and at least one has answered or
// timedOut is set.
func (gos *Gossiper) joinStep(ctx context.Context, answered map[string]bool, timedOut bool) bool {
	gos.bootstrap(ctx)
	answers := 0
	for _, ok := range answered {
		if ok {
			answers++
		}
	}
	addrs := gos.contactAddresses(joinPeers + len(answered))
	for _, addr := range addrs {
		if _, ok := answered[addr]; ok || answers >= joinPeers {
			continue
		}
		answered[addr] = gos.syncFrom(ctx, addr)
		if answered[addr] {
			answers++
		}
	}
	// The pulled members may include further peers to sync from.
	more := gos.contactAddresses(joinPeers + len(answered))
	for _, addr := range more {
		if _, ok := answered[addr]; !ok && answers < joinPeers {
			return false
		}
	}
	if answers == 0 && !timedOut {
		return false
	}
	gos.mu.Lock()
	gos.joined = true
	gos.mu.Unlock()
	return true
}

// bootstrap pulls the members from a seed or another known peer if no live peer is known.
// The tables can then be pulled from peers that are not seeds: hundreds of hosts may start
// at once, and only a few are seeds.
func (gos *Gossiper) bootstrap(ctx context.Context) {
	if len(gos.Live(time.Now())) > 0 {
		return
	}
	addrs := gos.contactAddresses(0)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs {
		if gos.pullMembers(ctx, addr) {
			return
		}
	}
}

// Sync pulls the members and tables from one peer, preferably not from a seed (see syncAny).
// A starting host calls it often while many other hosts may be starting too.
func (gos *Gossiper) Sync(ctx context.Context) { gos.syncAny(ctx) }

// syncAny pulls the members and tables from one live peer. If there is none or it does not
// answer, syncAny attempts the other contact addresses in random order. It reports whether a
// peer answered. The seeds are not the first choice, because hundreds of hosts may start at
// once, and sending each of them the full member list would saturate the links of the seeds.
func (gos *Gossiper) syncAny(ctx context.Context) bool {
	addrs := gos.contactAddresses(1)
	first := min(1, len(gos.Live(time.Now())))
	rest := addrs[first:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for _, addr := range addrs {
		if gos.syncFrom(ctx, addr) {
			return true
		}
	}
	return false
}

// syncFrom pulls the members and the tables from one peer.
func (gos *Gossiper) syncFrom(ctx context.Context, address string) bool {
	if !gos.pullMembers(ctx, address) {
		return false
	}
	gos.PullTables(ctx, address)
	if gos.Payload.Synced != nil {
		gos.Payload.Synced(ctx, address)
	}
	return true
}

// pullMembers pulls the members from one peer.
func (gos *Gossiper) pullMembers(ctx context.Context, address string) bool {
	env := &messenger.Envelope{Body: &messenger.Envelope_MembersPull{MembersPull: &messenger.MembersPull{From: gos.self()}}}
	rep, err := gos.call(ctx, syncTimeout, address, env)
	if err != nil {
		return false
	}
	gos.step(ctx, Received{Updates: gos.peersOf(rep.GetMembersPush().GetMembers())}, time.Now())
	return true
}

// contactAddresses returns addresses to pull from: up to num live peers, or all known peers
// if no peer is live or num is 0, followed by the seeds.
func (gos *Gossiper) contactAddresses(num int) []string {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	var out []string
	pers := gos.rosterLocked().Sample(num, func(Peer) bool { return true })
	if len(pers) == 0 {
		pers = gos.rosterLocked().All()
	}
	for _, per := range pers {
		out = append(out, per.Address)
	}
	for _, addr := range gos.Seeds {
		if addr != gos.Self.GetAddress() {
			out = append(out, addr)
		}
	}
	return out
}
