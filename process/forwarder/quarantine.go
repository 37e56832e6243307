package forwarder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/quarantiner"
	"hemlockpin/process/scheduler"
)

const (
	// quarantineInterval is the interval at which quarantines are written to the store and,
	// while peers are missing, read from it.
	quarantineInterval = time.Second
	// quarantineTimeout bounds one read or write of quarantines.
	quarantineTimeout = 900 * time.Millisecond
	// quarantineWait is how long a starting host that has everything else waits for the
	// quarantines. If no other host runs and the store does not answer, it then serves
	// without them.
	quarantineWait = time.Second
	// quarantinePeerWait is how long a starting host that has got everything else from its
	// peers leaves them to send the quarantines. quarantineRetry is the time between reads of
	// the store until then.
	quarantinePeerWait = 60 * time.Millisecond
	quarantineRetry    = 200 * time.Millisecond
	// peersDecay is the factor by which the number of live peers that is taken as usual
	// falls at each quarantineInterval. A host with fewer peers than usual may be cut off
	// from those that learn of new quarantines.
	peersDecay = 0.97
)

// QuarantineStore keeps quarantines beyond the life of all hosts.
type QuarantineStore interface {
	// Quarantines reads all quarantines. They count as begun at the time now, since clocks
	// of hosts differ.
	Quarantines(ctx context.Context, now time.Time) ([]quarantiner.Quarantine, error)
	// AddQuarantine writes a quarantine and is idempotent. RemoveQuarantine removes the one
	// with a name, if there is one.
	AddQuarantine(ctx context.Context, qua quarantiner.Quarantine) error
	RemoveQuarantine(ctx context.Context, name string) error
}

// quarantineSync keeps the quarantines of this host, its peers and the store the same.
type quarantineSync struct {
	ledger quarantiner.Ledger
	// known is set once a peer that knows all quarantines or the store has sent them, or
	// once the host serves without them.
	known   atomic.Bool
	pulling atomic.Bool
	// learned has an entry after this host has learned of a quarantine.
	learned chan struct{}
	// usualPeers is the number of live peers that is taken as usual.
	usualPeers float64

	mu sync.Mutex
	// pending are the changes that are not yet broadcast to peers.
	pending quarantiner.Change
}

// shareQuarantines queues changes for the next broadcast to peers.
func (fwd *Forwarder) shareQuarantines(cha quarantiner.Change) {
	if cha.Empty() {
		return
	}
	syn := &fwd.quarantine
	if len(cha.Quarantines) > 0 {
		select {
		case syn.learned <- struct{}{}:
		default:
		}
	}
	syn.mu.Lock()
	defer syn.mu.Unlock()
	if syn.pending.Empty() {
		time.AfterFunc(updateDelay, fwd.broadcastQuarantines)
	}
	syn.pending.Suspects = append(syn.pending.Suspects, cha.Suspects...)
	syn.pending.Quarantines = append(syn.pending.Quarantines, cha.Quarantines...)
}

func (fwd *Forwarder) broadcastQuarantines() {
	syn := &fwd.quarantine
	syn.mu.Lock()
	cha := syn.pending
	syn.pending = quarantiner.Change{}
	syn.mu.Unlock()
	fwd.withUpdateTimeout(func(ctx context.Context) {
		fwd.gossiper.Broadcast(ctx, func() *messenger.Envelope {
			return &messenger.Envelope{Body: &messenger.Envelope_QuarantinePush{QuarantinePush: quarantiner.Message(cha, time.Now())}}
		})
	})
}

// handleQuarantinePush merges what a peer has learned.
func (fwd *Forwarder) handleQuarantinePush(pus *messenger.QuarantinePush, now time.Time) *messenger.Envelope {
	fwd.shareQuarantines(fwd.quarantine.ledger.Merge(quarantiner.FromMessage(pus, now), now))
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// handleQuarantinePull answers with all that this host has learned.
func (fwd *Forwarder) handleQuarantinePull(now time.Time) *messenger.Envelope {
	pus := quarantiner.Message(fwd.quarantine.ledger.Everything(now), now)
	pus.Complete = fwd.quarantine.known.Load()
	return &messenger.Envelope{Body: &messenger.Envelope_QuarantinePush{QuarantinePush: pus}}
}

// compareQuarantines pulls the quarantines of a peer whose digest differs from that of this
// host, or of any peer while this host has none.
func (fwd *Forwarder) compareQuarantines(address string, digest uint64) {
	syn := &fwd.quarantine
	if syn.known.Load() && digest == syn.ledger.Digest(time.Now()) || !syn.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer syn.pulling.Store(false)
		fwd.withUpdateTimeout(func(ctx context.Context) { fwd.pullQuarantines(ctx, address) })
	}()
}

func (fwd *Forwarder) pullQuarantines(ctx context.Context, address string) {
	rep, err := fwd.multiplexer.Call(ctx, address, &messenger.Envelope{Body: &messenger.Envelope_QuarantinePull{QuarantinePull: &messenger.QuarantinePull{}}})
	if err != nil {
		fwd.Log.Warn().Str("Peer", address).Err(err).Msg("pull of quarantines from a peer failed; pulling again at the next message with another digest")
		return
	}
	now := time.Now()
	fwd.shareQuarantines(fwd.quarantine.ledger.Merge(quarantiner.FromMessage(rep.GetQuarantinePush(), now), now))
	if rep.GetQuarantinePush().GetComplete() {
		fwd.setQuarantinesKnown("peer")
	}
}

// setQuarantinesKnown records that the host has the quarantines, and from where.
func (fwd *Forwarder) setQuarantinesKnown(from string) {
	if fwd.quarantine.known.CompareAndSwap(false, true) {
		fwd.Log.Info().Str("From", from).Msg("quarantines of prompts received")
		fwd.releaseWaitingCalls()
	}
}

// followQuarantines obtains the quarantines of a starting host, which no longer waits for its
// peers, and then keeps the store up to date until ctx ends.
func (fwd *Forwarder) followQuarantines(ctx context.Context) {
	if fwd.Platform.Quarantines == nil {
		return
	}
	fwd.awaitQuarantines(ctx)
	tic := time.NewTicker(quarantineInterval)
	defer tic.Stop()
	for {
		select {
		case <-tic.C:
			if fwd.missesPeers(time.Now()) {
				fwd.readQuarantines(ctx)
			}
		case <-fwd.quarantine.learned:
		case <-ctx.Done():
			return
		}
		fwd.writeQuarantines(ctx, time.Now())
	}
}

// awaitQuarantines waits until a peer or the store has sent the quarantines. A host that
// reads tables and endpoints from the store reads them at the same time; another one leaves
// its peers a moment to send them.
func (fwd *Forwarder) awaitQuarantines(ctx context.Context) {
	tic := time.NewTicker(startCheckInterval)
	defer tic.Stop()
	var since, nextRead time.Time
	for !fwd.quarantine.known.Load() {
		now := time.Now()
		if since.IsZero() && fwd.hasTablesAndEndpoints() {
			since = now
		}
		peersLate := !since.IsZero() && now.Sub(since) > quarantinePeerWait
		if now.After(nextRead) && (fwd.shouldReadStore(now) || peersLate) {
			fwd.readQuarantines(ctx)
			nextRead = time.Now().Add(quarantineRetry)
		}
		if !since.IsZero() && now.Sub(since) > quarantineWait {
			fwd.setQuarantinesKnown("none")
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// missesPeers reports whether this host has fewer live peers than usual and watches the
// store for its part of the region.
func (fwd *Forwarder) missesPeers(now time.Time) bool {
	syn := &fwd.quarantine
	live := float64(len(fwd.gossiper.Live(now)))
	syn.usualPeers = max(live, syn.usualPeers*peersDecay)
	_, watches := fwd.watchers(now)
	return watches && live < syn.usualPeers
}

func (fwd *Forwarder) readQuarantines(ctx context.Context) {
	readCtx, stop := context.WithTimeout(ctx, quarantineTimeout)
	defer stop()
	now := time.Now()
	quas, err := fwd.Platform.Quarantines.Quarantines(readCtx, now)
	if err != nil {
		fwd.Log.Warn().Err(err).Msg("reading quarantines from the store failed; peers may know them")
		return
	}
	led := &fwd.quarantine.ledger
	for _, qua := range quas {
		led.MarkStored(qua.Name())
	}
	fwd.shareQuarantines(led.Merge(quarantiner.Change{Quarantines: quas}, now))
	fwd.setQuarantinesKnown("store")
}

// writeQuarantines writes the quarantines of which this host is in charge to the store, and
// removes those that have ended. After a failure it tries again at the next interval.
func (fwd *Forwarder) writeQuarantines(ctx context.Context, now time.Time) {
	led := &fwd.quarantine.ledger
	for _, qua := range led.Unstored(now) {
		if !fwd.writesQuarantine(qua.Name(), now) {
			continue
		}
		if err := fwd.callStore(ctx, func(ctx context.Context) error { return fwd.Platform.Quarantines.AddQuarantine(ctx, qua) }); err != nil {
			fwd.Log.Warn().Str("Quarantine", qua.Name()).Err(err).Msg("writing a quarantine to the store failed; trying again")
			return
		}
		led.MarkStored(qua.Name())
		fwd.Log.Info().Str("Quarantine", qua.Name()).Strs("Parts", qua.Parts).Bool("Lifted", qua.Lifted).Msg("quarantine written to the store")
	}
	for _, name := range led.EndedInStore(now) {
		if err := fwd.callStore(ctx, func(ctx context.Context) error { return fwd.Platform.Quarantines.RemoveQuarantine(ctx, name) }); err != nil {
			led.MarkStored(name)
			fwd.Log.Warn().Str("Quarantine", name).Err(err).Msg("removing a quarantine from the store failed; trying again")
			return
		}
	}
}

func (fwd *Forwarder) callStore(ctx context.Context, call func(context.Context) error) error {
	ctx, stop := context.WithTimeout(ctx, quarantineTimeout)
	defer stop()
	return call(ctx)
}

// writesQuarantine reports whether this host is in charge of writing a quarantine. If hosts
// differ in their view, several write it, which makes no difference.
func (fwd *Forwarder) writesQuarantine(name string, now time.Time) bool {
	ids := []string{fwd.Settings.HostID}
	for _, per := range fwd.gossiper.Live(now) {
		ids = append(ids, per.ID)
	}
	return slices.Index(scheduler.RankHosts(name, ids), fwd.Settings.HostID) == 0
}
