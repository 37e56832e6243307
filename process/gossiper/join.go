package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlockpin/connection/messenger"
)

const (
	syncInterval = 2 * time.Minute
	// joinPeers is the number of peers from which a starting host takes the
	// tables, so that one that lags does not set it back.
	joinPeers = 3
	// joinPatience is how long a starting host waits to hear of any peer.
	joinPatience = 2 * time.Second
)

// Joined reports whether the host has learned the members and the newest tables
// of several peers, or found none that answers.
func (gos *Gossiper) Joined() bool {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	return gos.joined
}

// runSync learns the members and tables at the start, and again rarely, to make
// up for changes that were not heard of.
func (gos *Gossiper) runSync(ctx context.Context, every time.Duration) {
	end := time.Now().Add(joinPatience)
	asked := map[string]bool{}
	for ctx.Err() == nil && !gos.joinStep(ctx, asked, time.Now().After(end)) {
		sleep(ctx, every/4)
	}
	for ctx.Err() == nil {
		wait := syncInterval/2 + rand.N(syncInterval)
		if !gos.syncAny(ctx) {
			wait = every
		}
		sleep(ctx, wait)
	}
}

func sleep(ctx context.Context, dur time.Duration) {
	select {
	case <-time.After(dur):
	case <-ctx.Done():
	}
}

// joinStep asks peers that were not asked yet. It reports whether the host has
// joined: enough peers have answered, or all that are known were tried.
func (gos *Gossiper) joinStep(ctx context.Context, asked map[string]bool, late bool) bool {
	gos.meet(ctx)
	answers := 0
	for _, ok := range asked {
		if ok {
			answers++
		}
	}
	adds := gos.contacts(joinPeers + len(asked))
	for _, add := range adds {
		if _, ok := asked[add]; ok || answers >= joinPeers {
			continue
		}
		asked[add] = gos.syncFrom(ctx, add)
		if asked[add] {
			answers++
		}
	}
	// The members that the peers named may be more to ask.
	more := gos.contacts(joinPeers + len(asked))
	for _, add := range more {
		if _, ok := asked[add]; !ok && answers < joinPeers {
			return false
		}
	}
	if answers == 0 && !late {
		return false
	}
	gos.mu.Lock()
	gos.joined = true
	gos.mu.Unlock()
	return true
}

// meet learns the members from a seed if no peer is known. Tables are then taken from any
// peers: hundreds of hosts may start at once, and the seeds are three of them.
func (gos *Gossiper) meet(ctx context.Context) {
	if len(gos.Live(time.Now())) > 0 {
		return
	}
	adds := gos.contacts(0)
	rand.Shuffle(len(adds), func(one, two int) { adds[one], adds[two] = adds[two], adds[one] })
	for _, add := range adds {
		if gos.pullMembers(ctx, add) {
			return
		}
	}
}

// Sync learns the members from some contact. A host calls it often after its
// start, when many hosts may be starting.
func (gos *Gossiper) Sync(ctx context.Context) { gos.syncAny(ctx) }

// syncAny learns the members from any peer, and from the seeds only if no other one
// is known or answers: hundreds of hosts may start at once, and a list of them all
// would take up the seeds' links.
func (gos *Gossiper) syncAny(ctx context.Context) bool {
	adds := gos.contacts(1)
	fir := min(1, len(gos.Live(time.Now())))
	sees := adds[fir:]
	rand.Shuffle(len(sees), func(one, two int) { sees[one], sees[two] = sees[two], sees[one] })
	for _, add := range adds {
		if gos.syncFrom(ctx, add) {
			return true
		}
	}
	return false
}

// sync learns the members and the tables from one peer.
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

// pullMembers learns the members from one peer.
func (gos *Gossiper) pullMembers(ctx context.Context, address string) bool {
	env := &messenger.Envelope{Body: &messenger.Envelope_MembersPull{MembersPull: &messenger.MembersPull{From: gos.self()}}}
	rep, err := gos.call(ctx, syncTimeout, address, env)
	if err != nil {
		return false
	}
	gos.step(ctx, Received{Updates: peersOf(rep.GetMembersPush().GetMembers())}, time.Now())
	return true
}

// contacts returns addresses to learn from: some live peers, else the listed
// ones, and the seeds.
func (gos *Gossiper) contacts(num int) []string {
	gos.mu.Lock()
	defer gos.mu.Unlock()
	var out []string
	pers := gos.state().Sample(num, func(Peer) bool { return true })
	if len(pers) == 0 {
		pers = gos.state().All()
	}
	for _, per := range pers {
		out = append(out, per.Address)
	}
	for _, add := range gos.Seeds {
		if add != gos.Self.GetAddress() {
			out = append(out, add)
		}
	}
	return out
}
