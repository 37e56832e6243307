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
	// firstHold is how long a scheduler may hold the first call of an ask. A
	// host that has no reply within callGrace more turns to the next one.
	firstHold = 100 * time.Millisecond
	laterHold = time.Second
	callGrace = 50 * time.Millisecond
	// laterGrace is the same for an ask that the scheduler has confirmed.
	laterGrace = 250 * time.Millisecond
	// suspectPeriod is how long a scheduler that did not answer is not asked.
	suspectPeriod = 3 * time.Second
	// maxSchedulers bounds the schedulers that one request tries.
	maxSchedulers = 2
	// groupTries bounds the grants of a group whose memory could not be reserved.
	groupTries           = 5
	groupPause           = 200 * time.Millisecond
	codeGroupUnavailable = "group_unavailable"
	// rankingLife is the time for which the order of schedulers is kept.
	rankingLife = 250 * time.Millisecond
	// digestLife is the age at which a cell's digest says nothing any more.
	digestLife = 2 * time.Second
)

// errNoScheduler says that no scheduler of the cell answered.
var errNoScheduler = eris.New("allocator: no scheduler answers")

// Caller sends a message to another host and returns its reply.
type Caller interface {
	Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error)
}

// Cells reaches the schedulers of cells, on this host and on others. All its
// exported fields are needed.
type Cells struct {
	Self        string
	Incarnation uint64
	Region      string
	// Entries returns the platform's list.
	Entries   func() []persister.Entry
	Caller    Caller
	Scheduler *scheduler.Scheduler
	// OtherRegions holds the digests of other regions' cells.
	OtherRegions overflower.Digests
	Scope        tally.Scope

	sequence atomic.Uint64

	mu       sync.Mutex
	suspects map[string]time.Time
	digests  map[string]digest
	rankings map[string]ranking
	notices  map[string][]*messenger.GrantNotice
}

type digest struct {
	wait time.Duration
	// full says that the cell has no live engine or no place in its queue.
	full bool
	at   time.Time
}

// grantor names the scheduler of a grant, its cell and the ask.
type grantor struct {
	host host
	cell string
	ask  string
}

// fromOwnCell asks the scheduler of a cell of the own region. It fails with
// errNoScheduler or errNoEngine where that can't place any request.
func (all *Allocator) fromOwnCell(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	for try := 1; ; try++ {
		lea, err := all.fromCellOnce(ctx, req, poo)
		var gro *groupError
		if try == groupTries || !errors.As(err, &gro) {
			return lea, err
		}
		req = gro.without(req)
		select {
		case <-time.After(groupPause/2 + rand.N(groupPause)):
		case <-ctx.Done():
			return lea, err
		}
	}
}

func (all *Allocator) fromCellOnce(ctx context.Context, req placer.Request, poo parser.Pool) (executor.Lease, error) {
	now := time.Now()
	all.mu.Lock()
	cou := scheduler.CellCount(len(all.view(poo, now).endpoints))
	all.mu.Unlock()
	cells := all.Cells
	nam := cells.choose(cells.Region+"/"+poo.Name, cou, req, now)
	ask := cells.newAsk(req)
	act, hos, err := cells.ask(ctx, nam, poo.Name, ask)
	if err != nil {
		return executor.Lease{}, err
	}
	return all.granted(ctx, req, act, grantor{hos, nam, ask.ID})
}

func (cel *Cells) newAsk(req placer.Request) scheduler.Request {
	id := req.ID + "-" + strconv.FormatUint(cel.sequence.Add(1), 10)
	return scheduler.Request{ID: id, Host: cel.Self, Incarnation: cel.Incarnation, Request: req}
}

// granted makes a lease of what a scheduler answered, or the error that says why
// there is none.
func (all *Allocator) granted(ctx context.Context, req placer.Request, act scheduler.Action, gra grantor) (executor.Lease, error) {
	notify := func(kin messenger.GrantNotice_Kind) { all.Cells.notify(gra.host, gra.cell, gra.ask, kin) }
	switch act := act.(type) {
	case scheduler.Grant:
		all.mu.Lock()
		defer all.mu.Unlock()
		lea := all.lease(act.Endpoint, act.Address, req.PromptTokens, time.Now())
		return withNotices(all.withMove(lea, gra.host, gra.cell, gra.ask), notify), nil
	case scheduler.GrantGroup:
		lea, err := all.group(ctx, req, placer.PlaceGroup{Parts: act.Parts})
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

// withNotices also tells the scheduler of the first token and of the end.
func withNotices(lea executor.Lease, notify func(messenger.GrantNotice_Kind)) executor.Lease {
	pre, rel := lea.Prefilled, lea.Release
	prefilled := sync.OnceFunc(func() { notify(messenger.GrantNotice_KIND_PREFILLED) })
	released := sync.OnceFunc(func() { notify(messenger.GrantNotice_KIND_RELEASED) })
	lea.Prefilled = func() {
		pre()
		prefilled()
	}
	lea.Release = func() {
		rel()
		released()
	}
	return lea
}

// choose takes the cell that the prompt's first block leads to, so that equal
// prefixes meet, unless another one drawn at random waits clearly less.
func (cel *Cells) choose(scope string, count int, req placer.Request, now time.Time) string {
	if count == 1 {
		return scheduler.CellName(scope, 0)
	}
	num := rand.IntN(count)
	if len(req.Prefix) > 0 {
		num = int(req.Prefix[0] % uint64(count))
	}
	one, two := scheduler.CellName(scope, num), scheduler.CellName(scope, rand.IntN(count))
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.wait(two, now)+prefixGain < cel.wait(one, now) {
		return two
	}
	return one
}

// prefixGain is the wait that a cell may have more than another and still be
// preferred.
const prefixGain = 20 * time.Millisecond

// wait is the last known wait of a cell. It fades as it grows old. The caller
// holds the lock.
func (cel *Cells) wait(nam string, now time.Time) time.Duration {
	dig := cel.digests[nam]
	age := now.Sub(dig.at)
	if age >= digestLife {
		return 0
	}
	return time.Duration(float64(dig.wait) * (1 - age.Seconds()/digestLife.Seconds()))
}

// learn notes the wait that the scheduler of a cell told with an answer.
func (cel *Cells) learn(nam string, wait time.Duration, act scheduler.Action, now time.Time) {
	ref, _ := act.(scheduler.Refuse)
	full := ref.Code == scheduler.CodePoolFull || ref.Code == scheduler.CodeUnavailable
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.digests == nil {
		cel.digests = map[string]digest{}
	}
	cel.digests[nam] = digest{wait, full, now}
}

// ask tries the hosts in the order of the cell's candidates.
func (cel *Cells) ask(ctx context.Context, nam, pool string, ask scheduler.Request) (scheduler.Action, host, error) {
	for _, hos := range cel.candidates(nam, cel.Region, time.Now()) {
		act, err := cel.askHost(ctx, hos, nam, pool, ask, 0)
		if err == nil {
			return act, hos, nil
		}
		if ctx.Err() != nil {
			cel.notify(hos, nam, ask.ID, messenger.GrantNotice_KIND_RELEASED)
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

// ranking is the order of the hosts for one cell at a time.
type ranking struct {
	hosts []host
	at    time.Time
}

// candidates returns the hosts of a region that may schedule a cell, the first
// choice first. The order is kept for a short time, so that a request does not cost
// what grows with the hosts.
func (cel *Cells) candidates(nam, region string, now time.Time) []host {
	cel.mu.Lock()
	ran, ok := cel.rankings[nam]
	cel.mu.Unlock()
	if ok && now.Sub(ran.at) < rankingLife {
		return ran.hosts
	}
	ran = ranking{cel.rank(nam, region, now), now}
	cel.mu.Lock()
	defer cel.mu.Unlock()
	if cel.rankings == nil {
		cel.rankings = map[string]ranking{}
	}
	cel.rankings[nam] = ran
	return ran.hosts
}

func (cel *Cells) rank(nam, region string, now time.Time) []host {
	ents := cel.Entries()
	adds := map[string]string{}
	var ids []string
	if region == cel.Region {
		adds[cel.Self] = ""
		ids = append(ids, cel.Self)
	}
	cel.mu.Lock()
	for _, ent := range ents {
		if ent.Kind != persister.KindEntry || ent.Leaving || ent.ID == cel.Self || ent.Region != region && ent.Region != "" {
			continue
		}
		if now.Before(cel.suspects[ent.ID]) {
			continue
		}
		adds[ent.ID] = ent.Address
		ids = append(ids, ent.ID)
	}
	cel.mu.Unlock()
	var out []host
	for _, id := range scheduler.Candidates(nam, ids) {
		out = append(out, host{id, adds[id]})
		if len(out) == maxSchedulers {
			break
		}
	}
	return out
}

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
