package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/process/follower"
	"hemlockpin/process/quarantiner"
	"hemlockpin/process/scheduler"

	"github.com/rs/zerolog"
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
	// peers leaves them to send the quarantines.
	quarantinePeerWait = 60 * time.Millisecond
	// quarantineRetry is the shortest pause after a failed read. It doubles with each further
	// failure, up to maxQuarantineRetry.
	quarantineRetry    = 200 * time.Millisecond
	maxQuarantineRetry = time.Second
	// quarantineReadSpacing is the time between two reads of the store by hosts that lack the
	// quarantines, if each of them takes its full share of the pause.
	quarantineReadSpacing = 400 * time.Millisecond
	// peersDecay is the factor by which the number of live peers that is taken as usual
	// falls at each quarantineInterval. A host with fewer peers than usual may be cut off
	// from those that learn of new quarantines.
	peersDecay = 0.97
)

// Sources of the quarantines of a host, for its log.
const (
	quarantinesFromStore = "store"
	quarantinesFromPull  = "pull"
	quarantinesFromPush  = "push"
)

// QuarantineStore keeps quarantines beyond the life of all hosts.
type QuarantineStore interface {
	// Quarantines reads all quarantines. They count as begun at the time now, since clocks
	// of hosts differ. invalid are the entries that are left out.
	Quarantines(ctx context.Context, now time.Time) (quas []quarantiner.Quarantine, invalid []follower.InvalidEntry, err error)
	// AddQuarantine writes a quarantine and is idempotent. RemoveQuarantine removes the one
	// with a name, if there is one.
	AddQuarantine(ctx context.Context, qua quarantiner.Quarantine) error
	RemoveQuarantine(ctx context.Context, name string) error
}

// quarantineSync keeps the quarantines of this host, its peers and the store the same.
type quarantineSync struct {
	ledger  quarantiner.Ledger
	pulling atomic.Bool
	// learned has an entry after this host has learned of a quarantine.
	learned chan struct{}
	// usualPeers is the number of live peers that is taken as usual.
	usualPeers float64
	// reads is used by followQuarantines only.
	reads quarantineReads

	mu         sync.Mutex
	state      quarantineState
	stateSince time.Time
	lastPull   time.Time
	// pending are the changes that are not yet broadcast to peers. announcing is set while
	// the next broadcast is to hold all quarantines, for peers that lack them.
	pending    quarantiner.Change
	announcing bool
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
	fwd.queueQuarantines(cha, false)
}

// queueQuarantines adds changes to the next broadcast, or all quarantines if announcing is
// set.
func (fwd *Forwarder) queueQuarantines(cha quarantiner.Change, announcing bool) {
	syn := &fwd.quarantine
	syn.mu.Lock()
	defer syn.mu.Unlock()
	if syn.pending.Empty() && !syn.announcing {
		time.AfterFunc(updateDelay, fwd.broadcastQuarantines)
	}
	syn.pending.Suspects = append(syn.pending.Suspects, cha.Suspects...)
	syn.pending.Quarantines = append(syn.pending.Quarantines, cha.Quarantines...)
	syn.announcing = syn.announcing || announcing
}

func (fwd *Forwarder) broadcastQuarantines() {
	syn := &fwd.quarantine
	syn.mu.Lock()
	cha, complete := syn.pending, syn.announcing
	syn.pending, syn.announcing = quarantiner.Change{}, false
	syn.mu.Unlock()
	if complete {
		cha.Quarantines = syn.ledger.Everything(time.Now()).Quarantines
	}
	fwd.withUpdateTimeout(func(ctx context.Context) {
		fwd.gossiper.Broadcast(ctx, func() *messenger.Envelope {
			pus := quarantiner.Message(cha, time.Now())
			pus.Complete = complete
			return &messenger.Envelope{Body: &messenger.Envelope_QuarantinePush{QuarantinePush: pus}}
		})
	})
}

// handleQuarantinePush merges what a peer has learned.
func (fwd *Forwarder) handleQuarantinePush(pus *messenger.QuarantinePush, now time.Time) *messenger.Envelope {
	fwd.shareQuarantines(fwd.quarantine.ledger.Merge(quarantiner.FromMessage(pus, now), now))
	if pus.GetComplete() {
		fwd.completeQuarantines(quarantinesFromPush, now)
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// handleQuarantinePull answers with all that this host has learned.
func (fwd *Forwarder) handleQuarantinePull(now time.Time) *messenger.Envelope {
	pus := quarantiner.Message(fwd.quarantine.ledger.Everything(now), now)
	pus.Complete = fwd.quarantine.State() == quarantinesComplete
	return &messenger.Envelope{Body: &messenger.Envelope_QuarantinePush{QuarantinePush: pus}}
}

// compareQuarantines pulls the quarantines of a peer whose digest differs from that of this
// host, or of any peer while this host is not complete.
func (fwd *Forwarder) compareQuarantines(address string, digest uint64) {
	syn, now := &fwd.quarantine, time.Now()
	if !syn.ShouldPull(digest == syn.ledger.Digest(now), now) || !syn.pulling.CompareAndSwap(false, true) {
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
		fwd.completeQuarantines(quarantinesFromPull, now)
	}
}

// completeQuarantines records that the host has all quarantines, and from where. It announces
// them to peers that may lack them as well; those of a host that has got them in the usual way
// at its start have them.
func (fwd *Forwarder) completeQuarantines(from string, now time.Time) {
	before, age, ok := fwd.quarantine.Advance(quarantinesComplete, now)
	if !ok {
		return
	}
	if before == quarantinesMissing {
		fwd.Log.Info().Str("From", from).Dur("MissingMs", age).Msg("quarantines of prompts received late; the host has served without them")
	} else {
		fwd.Log.Info().Str("From", from).Dur("WaitedMs", age).Msg("quarantines of prompts received")
	}
	if before == quarantinesMissing || from != quarantinesFromPull {
		fwd.queueQuarantines(quarantiner.Change{}, true)
	}
	fwd.releaseWaitingCalls()
}

// followQuarantines obtains the quarantines of a starting host, which no longer waits for its
// peers, and then keeps the store up to date until ctx ends. While the host lacks them, it goes
// on reading them.
func (fwd *Forwarder) followQuarantines(ctx context.Context) {
	if fwd.Platform.Quarantines == nil {
		return
	}
	fwd.awaitQuarantines(ctx)
	tic, retry := time.NewTicker(quarantineInterval), time.NewTicker(quarantineRetry)
	defer tic.Stop()
	defer retry.Stop()
	for {
		select {
		case <-retry.C:
			if fwd.quarantine.State() == quarantinesComplete {
				retry.Stop()
			} else if now := time.Now(); fwd.quarantine.reads.Due(fwd.liveHosts(now), now) {
				fwd.readQuarantines(ctx)
			}
			continue
		case <-tic.C:
			if fwd.missesPeers(time.Now()) && fwd.quarantine.State() == quarantinesComplete {
				fwd.readQuarantines(ctx)
			}
		case <-fwd.quarantine.learned:
		case <-ctx.Done():
			return
		}
		fwd.writeQuarantines(ctx, time.Now())
	}
}

// awaitQuarantines waits until a peer or the store has sent the quarantines, or until the host
// has had everything else for quarantineWait.
func (fwd *Forwarder) awaitQuarantines(ctx context.Context) {
	tic := time.NewTicker(startCheckInterval)
	defer tic.Stop()
	var since time.Time
	for fwd.quarantine.State() == quarantinesAwaited {
		now := time.Now()
		if since.IsZero() && fwd.hasTablesAndEndpoints() {
			since = now
		}
		if fwd.startReadDue(since, now) {
			fwd.readQuarantines(ctx)
		}
		if !since.IsZero() && now.Sub(since) > quarantineWait {
			fwd.serveWithoutQuarantines(now.Sub(since), now)
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

// startReadDue reports whether a starting host should read the quarantines now. since is when
// it had tables and endpoints. A host that reads these from the store reads the quarantines at
// the same time; another one leaves its peers a moment to send them.
func (fwd *Forwarder) startReadDue(since, now time.Time) bool {
	rea := &fwd.quarantine.reads
	if rea.last.IsZero() {
		if fwd.shouldReadStore(now) {
			return true
		}
		if since.IsZero() {
			return false
		}
		*rea = quarantineReads{last: since.Add(quarantinePeerWait), share: rand.Float64()}
	}
	return rea.Due(fwd.liveHosts(now), now)
}

// serveWithoutQuarantines makes the host accept calls although it lacks the quarantines.
func (fwd *Forwarder) serveWithoutQuarantines(waited time.Duration, now time.Time) {
	if _, _, ok := fwd.quarantine.Advance(quarantinesMissing, now); !ok {
		return
	}
	fwd.Log.Warn().Dur("WaitedMs", waited).Int("FailedReads", fwd.quarantine.reads.failures).Int("Hosts", fwd.liveHosts(now)).
		Msg("neither the store nor a peer has sent the quarantines of prompts; serving without them")
	fwd.releaseWaitingCalls()
}

// liveHosts returns the number of live hosts, including this one.
func (fwd *Forwarder) liveHosts(now time.Time) int { return len(fwd.gossiper.Live(now)) + 1 }

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
	now, era := time.Now(), fwd.registry.Era()
	quas, invalid, err := fwd.Platform.Quarantines.Quarantines(readCtx, now)
	rea := &fwd.quarantine.reads
	if err != nil {
		*rea = rea.WithFailure(time.Now(), rand.Float64())
		fwd.logFailedRead(err)
		return
	}
	*rea = quarantineReads{last: now}
	fwd.reportInvalid("quarantines", invalid)
	led := &fwd.quarantine.ledger
	for _, qua := range quas {
		led.MarkStored(qua.Name(), era)
	}
	fwd.shareQuarantines(led.Merge(quarantiner.Change{Quarantines: quas}, now))
	fwd.completeQuarantines(quarantinesFromStore, now)
}

// logFailedRead logs the first failure of a series as a warning. In an outage of the store the
// others would be warnings of hundreds of hosts.
func (fwd *Forwarder) logFailedRead(err error) {
	rea, hosts := fwd.quarantine.reads, fwd.liveHosts(time.Now())
	level := zerolog.WarnLevel
	if rea.failures > 1 {
		level = zerolog.InfoLevel
	}
	fwd.Log.WithLevel(level).Int("Failures", rea.failures).Dur("PauseMs", rea.Pause(hosts)).Int("Hosts", hosts).Err(err).
		Msg("reading quarantines from the store failed; peers may know them")
}

// writeQuarantines writes the quarantines of which this host is in charge to the store, and
// removes those that have ended, also again after the store has come back from an older copy. After
// a failure it tries again at the next interval.
func (fwd *Forwarder) writeQuarantines(ctx context.Context, now time.Time) {
	// A write of an earlier era than the store's may be lost.
	led, era := &fwd.quarantine.ledger, fwd.registry.Era()
	for _, qua := range led.Unstored(era, now) {
		if !fwd.writesQuarantine(qua.Name(), now) {
			continue
		}
		if err := fwd.callStore(ctx, func(ctx context.Context) error { return fwd.Platform.Quarantines.AddQuarantine(ctx, qua) }); err != nil {
			fwd.Log.Warn().Str("Quarantine", qua.Name()).Err(err).Msg("writing a quarantine to the store failed; trying again")
			return
		}
		led.MarkStored(qua.Name(), era)
		fwd.Log.Info().Str("Quarantine", qua.Name()).Strs("Parts", qua.Parts).Bool("Lifted", qua.Lifted).Msg("quarantine written to the store")
	}
	for _, name := range led.EndedInStore(era, now) {
		if err := fwd.callStore(ctx, func(ctx context.Context) error { return fwd.Platform.Quarantines.RemoveQuarantine(ctx, name) }); err != nil {
			led.MarkStored(name, era)
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
