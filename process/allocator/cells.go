package allocator

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/process/overflower"
	"hemlockpin/process/scheduler"
	"hemlockpin/request/executor"
	"hemlockpin/request/placer"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

const (
	// firstHold is the time for which a scheduler may hold the first call of a
	// request. If no reply arrives within callGrace after that time, the request
	// goes to the next scheduler.
	firstHold = 100 * time.Millisecond
	// laterHold is the same time for later calls of the request.
	laterHold = time.Second
	callGrace = 50 * time.Millisecond
	// laterGrace replaces callGrace once the scheduler has replied that the
	// request waits.
	laterGrace = 250 * time.Millisecond
	// suspectPeriod is the time for which a scheduler that did not answer gets no
	// requests.
	suspectPeriod = 3 * time.Second
	// maxSchedulers bounds the schedulers that one request is sent to.
	maxSchedulers = 2
	// maxGroupAttempts bounds the attempts to place a request whose group of
	// engines could not reserve memory. groupRetryPause is the mean pause between
	// attempts.
	maxGroupAttempts = 5
	groupRetryPause  = 200 * time.Millisecond
	// codeGroupUnavailable refuses a request for which a group of engines could
	// not reserve memory.
	codeGroupUnavailable = "group_unavailable"
	// rankingTimeout is the time for which the order of schedulers is cached.
	rankingTimeout = 250 * time.Millisecond
	// digestTimeout is the age at which a cell's digest is no longer used.
	digestTimeout = 2 * time.Second
)

// errNoScheduler means that the request has to be placed from the local view: no
// scheduler of the cell answered, or the cell has no live engine.
var errNoScheduler = eris.New("allocator: no scheduler of the cell answered")

// PeerClient sends a message to another host and returns its reply.
type PeerClient interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Cells sends requests to the schedulers of cells, on this host or on other hosts, and
// answers the requests of other hosts to this host's cells. All exported fields are
// required.
type Cells struct {
	Self        string
	Incarnation uint64
	Region      string
	// Entries returns the platform's list of hosts and endpoints.
	Entries   func() []persister.Entry
	Peers     PeerClient
	Scheduler *scheduler.Scheduler
	// OtherRegions has the digests of cells in other regions.
	OtherRegions overflower.Digests
	Scope        tally.Scope

	// sequence makes the IDs of requests to cells unique.
	sequence atomic.Uint64

	mu sync.Mutex
	// suspects has the time until which a host gets no requests, by host ID.
	suspects map[string]time.Time
	// digests and rankings are by cell name, notices by host address.
	digests  map[string]digest
	rankings map[string]ranking
	notices  map[string][]*messenger.GrantNotice
}

type digest struct {
	wait time.Duration
	// full reports whether the cell has no live engine or a full queue.
	full bool
	at   time.Time
}

// grantRef identifies a grant: its scheduler, its cell and its ID in the cell.
type grantRef struct {
	host    host
	cell    string
	grantID string
}

// placeInOwnRegion places a request through the scheduler of a cell in this host's
// region. It returns errNoScheduler if no scheduler answers and errNoEngine if the
// cell has no live engine. It tries again if a group's memory is not available.
func (all *Allocator) placeInOwnRegion(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	for attempt := 1; ; attempt++ {
		lea, err := all.placeInOwnRegionOnce(ctx, req, poo)
		var unavailable *groupError
		if attempt == maxGroupAttempts || !errors.As(err, &unavailable) {
			return lea, err
		}
		req = unavailable.excludeUnresponsive(req)
		select {
		case <-time.After(groupRetryPause/2 + rand.N(groupRetryPause)):
		case <-ctx.Done():
			return lea, err
		}
	}
}

func (all *Allocator) placeInOwnRegionOnce(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	now := time.Now()
	all.mu.Lock()
	count := scheduler.CellCount(len(all.view(poo, now).endpoints))
	all.mu.Unlock()
	cells := all.Cells
	cell := cells.chooseCell(cells.Region+"/"+poo.Name, count, req, now)
	cellReq := cells.newRequest(req)
	act, hos, err := cells.submit(ctx, cell, poo.Name, cellReq)
	if err != nil {
		return executor.Lease{}, err
	}
	return all.leaseFromAction(ctx, req, act, grantRef{hos, cell, cellReq.ID})
}

func (cel *Cells) newRequest(req placer.Request) scheduler.Request {
	id := req.ID + "-" + strconv.FormatUint(cel.sequence.Add(1), 10)
	return scheduler.Request{ID: id, Host: cel.Self, Incarnation: cel.Incarnation, Request: req}
}

// leaseFromAction turns a scheduler's reply into a lease or an error.
func (all *Allocator) leaseFromAction(ctx context.Context, req placer.Request, act scheduler.Action, gra grantRef) (executor.Lease, error) {
	notify := func(kind messenger.GrantNotice_Kind) { all.Cells.notify(gra.host, gra.cell, gra.grantID, kind) }
	switch act := act.(type) {
	case scheduler.Grant:
		all.mu.Lock()
		defer all.mu.Unlock()
		lea := all.lease(act.Endpoint, act.Address, req.PromptTokens, time.Now())
		return withNotices(all.withMove(lea, gra.host, gra.cell, gra.grantID), notify), nil
	case scheduler.GrantGroup:
		lea, err := all.reserveGroup(ctx, req, placer.PlaceGroup{Parts: act.Parts})
		if err != nil {
			notify(messenger.GrantNotice_KIND_RELEASED)
			return lea, err
		}
		return withNotices(lea, notify), nil
	case scheduler.Refuse:
		if act.Code == scheduler.CodeUnavailable {
			return executor.Lease{}, errNoEngine
		}
		return executor.Lease{}, &executor.RefusedError{Refuse: act.Refuse}
	default:
		return executor.Lease{}, eris.Errorf("Allocator.granted: unexpected action %T", act)
	}
}

// withNotices makes a lease notify its scheduler of the first token and of its end.
func withNotices(lea executor.Lease, notify func(messenger.GrantNotice_Kind)) executor.Lease {
	prefilled, release := lea.Prefilled, lea.Release
	notifyPrefilled := sync.OnceFunc(func() { notify(messenger.GrantNotice_KIND_PREFILLED) })
	notifyReleased := sync.OnceFunc(func() { notify(messenger.GrantNotice_KIND_RELEASED) })
	lea.Prefilled = func() {
		prefilled()
		notifyPrefilled()
	}
	lea.Release = func() {
		release()
		notifyReleased()
	}
	return lea
}

// chooseCell returns the cell given by the hash of the prompt's first block, so that
// equal prefixes go to the same engines. It returns a random cell instead if the wait
// of that cell is clearly shorter.
func (cel *Cells) chooseCell(scope string, count int, req placer.Request, now time.Time) string {
	if count == 1 {
		return scheduler.CellName(scope, 0)
	}
	number := rand.IntN(count)
	if len(req.Prefix) > 0 {
		number = int(req.Prefix[0] % uint64(count))
	}
	preferred, other := scheduler.CellName(scope, number), scheduler.CellName(scope, rand.IntN(count))
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.expectedWait(other, now)+prefixGain < cel.expectedWait(preferred, now) {
		return other
	}
	return preferred
}

// prefixGain is how much longer the wait of the cell given by the prefix may be than
// that of another cell. It stands for the prefill time that a cached prefix saves.
const prefixGain = 20 * time.Millisecond

// expectedWait returns the last known wait of a cell, scaled down linearly to 0 at
// digestTimeout. The caller holds the lock.
func (cel *Cells) expectedWait(cell string, now time.Time) time.Duration {
	dig := cel.digests[cell]
	age := now.Sub(dig.at)
	if age >= digestTimeout {
		return 0
	}
	return time.Duration(float64(dig.wait) * (1 - age.Seconds()/digestTimeout.Seconds()))
}

// recordDigest records the wait that the scheduler of a cell sent with a reply.
func (cel *Cells) recordDigest(cell string, wait time.Duration, act scheduler.Action, now time.Time) {
	ref, _ := act.(scheduler.Refuse)
	full := ref.Code == scheduler.CodePoolFull || ref.Code == scheduler.CodeUnavailable
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.digests == nil {
		cel.digests = map[string]digest{}
	}
	cel.digests[cell] = digest{wait, full, now}
}

// submit sends a request to the cell's candidate hosts in their order, until a host
// grants or refuses the request, and returns that host. Hosts that do not answer are
// suspected.
func (cel *Cells) submit(ctx context.Context, cell, pool string, req scheduler.Request) (scheduler.Action, host, error) {
	for _, hos := range cel.candidates(cell, cel.Region, time.Now()) {
		act, err := cel.submitToHost(ctx, hos, cell, pool, req, 0)
		if err == nil {
			return act, hos, nil
		}
		if ctx.Err() != nil {
			cel.notify(hos, cell, req.ID, messenger.GrantNotice_KIND_RELEASED)
			return nil, hos, eris.Wrapf(ctx.Err(), "Cells.ask: scheduler %s", hos.id)
		}
		cel.suspect(hos.id, time.Now())
	}
	return nil, host{}, errNoScheduler
}

type host struct {
	id      string
	address string
}

// ranking is the cached order of the hosts for one cell.
type ranking struct {
	hosts []host
	at    time.Time
}

// candidates returns the hosts of a region that may schedule a cell, the preferred
// one first. The order is cached for rankingTimeout, because the cost of computing
// it grows with the number of hosts.
func (cel *Cells) candidates(cell, region string, now time.Time) []host {
	cel.mu.Lock()
	ran, ok := cel.rankings[cell]
	cel.mu.Unlock()
	if ok && now.Sub(ran.at) < rankingTimeout {
		return ran.hosts
	}
	ran = ranking{cel.rankHosts(cell, region, now), now}
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.rankings == nil {
		cel.rankings = map[string]ranking{}
	}
	cel.rankings[cell] = ran
	return ran.hosts
}

func (cel *Cells) rankHosts(cell, region string, now time.Time) []host {
	ents := cel.Entries()
	addresses := map[string]string{}
	var ids []string
	if region == cel.Region {
		addresses[cel.Self] = ""
		ids = append(ids, cel.Self)
	}
	cel.mu.Lock()
	for _, ent := range ents {
		if ent.Kind != persister.KindHost || ent.Leaving || ent.ID == cel.Self || ent.Region != region && ent.Region != "" {
			continue
		}
		if now.Before(cel.suspects[ent.ID]) {
			continue
		}
		addresses[ent.ID] = ent.Address
		ids = append(ids, ent.ID)
	}
	cel.mu.Unlock()
	var out []host
	for _, id := range scheduler.RankHosts(cell, ids) {
		out = append(out, host{id, addresses[id]})
		if len(out) == maxSchedulers {
			break
		}
	}
	return out
}

// suspect excludes a host that did not answer from the candidates of all cells for
// suspectPeriod.
func (cel *Cells) suspect(id string, now time.Time) {
	cel.Scope.Counter("schedulers_suspected").Inc(1)
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.suspects == nil {
		cel.suspects = map[string]time.Time{}
	}
	cel.suspects[id] = now.Add(suspectPeriod)
	cel.rankings = nil
}
