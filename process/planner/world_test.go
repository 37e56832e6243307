package planner

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hemlockpin/version/parser"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// batching are the figures of the engines in the tests.
var batching = parser.Batching{
	Slots: 16, MemoryTokens: 315_000, StepMs: 0.85, SequenceMs: 0.00425, ContextMs: 0.00285, Stride: 51,
	ReadRate: 177_000, PairsMs: 0.184, ChunkTokens: 2048, HopMs: 0.05, ReportLagMs: 200, UsualPrompt: 11_108, UsualAnswer: 1622,
}

// class is a kind of request.
type class struct {
	name      string
	rate      float64
	mean      float64
	spread    float64
	most      float64
	events    float64
	objective time.Duration
	pause     time.Duration
	deadline  time.Duration
}

var classes = []class{
	{"short", 28.7, 4960, 0.9, 23_800, 33, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second},
	{"middle", 1.45, 45_000, 0.5, 110_000, 20, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second},
	{"long", 0.88, 154_000, 0.55, 700_000, 16, 3 * time.Second, time.Second, 15 * time.Second},
}

// simRequest is a request in the simulated world.
type simRequest struct {
	id       string
	class    int
	tokens   int64
	events   int
	arrived  time.Time
	first    time.Time
	last     time.Time
	longest  time.Duration
	sent     int
	unread   int
	lead     *simEngine
	left     bool
	refused  bool
	finished bool
}

func (req *simRequest) inTime() bool {
	cla := classes[req.class]
	return req.finished && req.first.Sub(req.arrived) <= cla.objective && req.longest <= cla.pause
}

// simPart is a read of one engine. Tokens and read are what is left of it.
type simPart struct {
	req    *simRequest
	tokens float64
	read   float64
}

// take takes the tokens that fit into a budget, and returns their time.
func (par *simPart) take(budget *float64) float64 {
	if par.tokens <= *budget {
		*budget -= par.tokens
		dur := par.read
		par.tokens, par.read = 0, 0
		return dur
	}
	sha := *budget / par.tokens
	dur := sha * par.read
	par.tokens -= *budget
	par.read -= dur
	*budget = 0
	return dur
}

// simEngine works in steps, as the platform's contract of engines says: each one
// reads up to a chunk, and a stride of them writes an event of every answer. Parts
// of divided prompts go ahead of other reads, the newest first: the bench's engines
// were seen to do so on quiet-1 of solepost-mu, where a replay of that order gave
// the first events of 41 divided prompts within 0.1 s in the median.
type simEngine struct {
	id      string
	slow    float64
	divided []*simPart
	whole   []*simPart
	// read are own prompts whose first event comes with the end of the pass.
	read    []*simRequest
	writing []*simRequest
	// left counts the steps of the pass, since is when the slice in progress began,
	// of steps at stepMs each. Slice tells its end from those that were cut.
	left   int
	since  time.Time
	stepMs float64
	slice  int
	idle   bool
}

// next returns the reads in the order in which the engine takes them.
func (eng *simEngine) next() []*simPart {
	out := slices.Clone(eng.divided)
	slices.Reverse(out)
	return append(out, eng.whole...)
}

// remove takes out the parts that a report holds for.
func (eng *simEngine) remove(is func(*simPart) bool) {
	eng.divided = slices.DeleteFunc(eng.divided, is)
	eng.whole = slices.DeleteFunc(eng.whole, is)
}

func (eng *simEngine) drop(req *simRequest) {
	eng.remove(func(par *simPart) bool { return par.req == req })
	is := func(oth *simRequest) bool { return oth == req }
	eng.writing = slices.DeleteFunc(eng.writing, is)
	eng.read = slices.DeleteFunc(eng.read, is)
}

// step is the time of one step without what it reads.
func (eng *simEngine) step() float64 {
	var con int64
	for _, req := range append(slices.Clone(eng.writing), eng.read...) {
		con += req.tokens
	}
	ans := len(eng.writing) + len(eng.read)
	return float64(newFigures(batching).pass(ans, con)) / float64(batching.Stride)
}

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Time
	num int
	run func(now time.Time)
}

type simQueue []simEvent

func (que simQueue) Len() int { return len(que) }
func (que simQueue) Less(one, two int) bool {
	if !que[one].at.Equal(que[two].at) {
		return que[one].at.Before(que[two].at)
	}
	return que[one].num < que[two].num
}
func (que simQueue) Swap(one, two int) { que[one], que[two] = que[two], que[one] }
func (que *simQueue) Push(val any)     { *que = append(*que, val.(simEvent)) }
func (que *simQueue) Pop() any {
	las := (*que)[len(*que)-1]
	*que = (*que)[:len(*que)-1]
	return las
}

// world drives a plan with simulated callers and engines.
type world struct {
	plan     Plan
	engines  map[string]*simEngine
	requests map[string]*simRequest
	order    []*simRequest
	queue    simQueue
	num      int
	random   *rand.Rand
	ticking  bool
	// timed, if not nil, is told how long each step of the plan took.
	timed func(dur time.Duration)
}

const (
	simHop  = 1500 * time.Microsecond
	simTick = 8 * time.Millisecond
)

func newWorld(engines int, seed uint64) *world {
	wor := &world{engines: map[string]*simEngine{}, requests: map[string]*simRequest{}, random: rand.New(rand.NewPCG(seed, 1))}
	var lis []Engine
	for ind := range engines {
		id := fmt.Sprintf("e%02d", ind)
		wor.engines[id] = &simEngine{id: id, slow: 1}
		lis = append(lis, Engine{ID: id, Address: id})
	}
	wor.plan.Next(Parameters{batching}, epoch)
	wor.plan.Next(Listing{lis}, epoch)
	return wor
}

func (wor *world) at(at time.Time, run func(now time.Time)) {
	wor.num++
	heap.Push(&wor.queue, simEvent{at, wor.num, run})
}

func (wor *world) run() {
	for len(wor.queue) > 0 {
		eve := heap.Pop(&wor.queue).(simEvent)
		eve.run(eve.at)
	}
}

// arrive makes the requests of a class at a rate for a time.
func (wor *world) arrive(cla int, rate float64, from time.Time, dur time.Duration) {
	at := from
	for rate > 0 {
		at = at.Add(time.Duration(wor.random.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(from) >= dur {
			return
		}
		wor.request(cla, wor.length(classes[cla]), at)
	}
}

// length draws the length of a prompt.
func (wor *world) length(cla class) int64 {
	med := cla.mean / math.Exp(cla.spread*cla.spread/2)
	return int64(min(cla.most, max(200, med*math.Exp(cla.spread*wor.random.NormFloat64()))))
}

func (wor *world) request(cla int, tokens int64, at time.Time) *simRequest {
	req := &simRequest{id: fmt.Sprintf("r%05d", len(wor.order)), class: cla, tokens: tokens, arrived: at}
	req.events = max(1, int(classes[cla].events*math.Exp(0.5*wor.random.NormFloat64()-0.125)))
	wor.requests[req.id] = req
	wor.order = append(wor.order, req)
	wor.at(at.Add(simHop), func(now time.Time) { wor.ask(req, now) })
	return req
}

func (wor *world) ask(req *simRequest, now time.Time) {
	cla := classes[req.class]
	wor.next(Request{ID: req.id, Host: "h", Prompt: Prompt{
		Tokens: req.tokens, MaxTokens: int64(req.events*batching.Stride) + 200, Target: req.arrived.Add(cla.objective),
		Deadline: req.arrived.Add(cla.deadline), Objective: cla.objective, Pause: cla.pause,
	}}, now)
	wor.tick(now)
}

// tick lets time pass while asks wait, and repeats them as hosts do.
func (wor *world) tick(now time.Time) {
	if wor.ticking || wor.plan.Waiting() == 0 {
		return
	}
	wor.ticking = true
	wor.at(now.Add(simTick), func(now time.Time) {
		wor.ticking = false
		for _, one := range wor.plan.waiting {
			one.seen = now
		}
		wor.next(Tick{}, now)
		wor.tick(now)
	})
}

func (wor *world) next(eve Event, now time.Time) {
	beg := time.Now()
	acts := wor.plan.Next(eve, now)
	if wor.timed != nil {
		wor.timed(time.Since(beg))
	}
	for _, act := range acts {
		switch act := act.(type) {
		case Assign:
			wor.at(now.Add(2*simHop), func(now time.Time) { wor.send(wor.requests[act.ID], act, now) })
		case Refuse:
			wor.requests[act.ID].refused = true
		}
	}
}

func (wor *world) send(req *simRequest, act Assign, now time.Time) {
	req.sent++
	req.unread = len(act.Parts)
	req.lead = wor.engines[act.Parts[0].Endpoint]
	rea := float64(newFigures(batching).read(req.tokens)) / float64(len(act.Parts))
	for _, par := range act.Parts {
		eng := wor.engines[par.Endpoint]
		one := &simPart{req, float64(req.tokens) / float64(len(act.Parts)), rea}
		if len(act.Parts) > 1 {
			eng.divided = append(eng.divided, one)
		} else {
			eng.whole = append(eng.whole, one)
		}
		wor.interrupt(eng, now)
	}
	pat := patience(Prompt{Target: req.arrived.Add(classes[req.class].objective), Objective: classes[req.class].objective, Pause: classes[req.class].pause, Deadline: req.arrived.Add(classes[req.class].deadline)})
	wor.at(pat, func(now time.Time) {
		if req.first.IsZero() {
			wor.leave(req, now)
		}
	})
}

// leave ends a request whose caller has given it up.
func (wor *world) leave(req *simRequest, now time.Time) {
	req.left = true
	for _, eng := range wor.engines {
		eng.drop(req)
	}
	wor.next(Ended{req.id}, now)
}

// interrupt cuts the slice in progress, so that new reads count.
func (wor *world) interrupt(eng *simEngine, now time.Time) {
	if eng.stepMs > 0 {
		don := min(eng.left, int(now.Sub(eng.since).Seconds()*1000/eng.stepMs))
		eng.left -= don
		eng.stepMs = 0
		wor.proceed(eng, now)
		return
	}
	if eng.idle || eng.slice == 0 {
		wor.proceed(eng, now)
	}
}

// proceed starts the next slice: one step that reads, or what is left of the pass.
func (wor *world) proceed(eng *simEngine, now time.Time) {
	eng.slice++
	que := eng.next()
	if eng.idle = len(que) == 0 && len(eng.writing) == 0 && len(eng.read) == 0; eng.idle {
		eng.left, eng.stepMs = 0, 0
		return
	}
	if eng.left <= 0 {
		eng.left = batching.Stride
	}
	num, sli := 1, eng.slice
	dur := eng.step()
	if len(que) == 0 {
		num = eng.left
		eng.since, eng.stepMs = now, eng.slow*dur
	} else {
		eng.stepMs = 0
		bud := float64(batching.ChunkTokens)
		for _, par := range que {
			dur += par.take(&bud)
		}
	}
	end := time.Duration(eng.slow * max(0.1, dur*float64(num)) * float64(time.Millisecond))
	wor.at(now.Add(end), func(now time.Time) { wor.stepped(eng, sli, num, now) })
}

// stepped ends a slice.
func (wor *world) stepped(eng *simEngine, slice, num int, now time.Time) {
	if slice != eng.slice {
		return
	}
	eng.stepMs = 0
	for _, par := range eng.next() {
		if par.tokens <= 0 {
			wor.isRead(par.req, now)
		}
	}
	eng.remove(func(par *simPart) bool { return par.tokens <= 0 })
	wri := len(eng.writing) > 0 || len(eng.read) > 0
	if eng.left -= num; eng.left <= 0 && wri {
		wor.endPass(eng, now)
	}
	wor.proceed(eng, now)
}

// isRead notes that an engine has read its part of a prompt. With the last one the
// lead begins to write, with the steps that are left of its pass.
func (wor *world) isRead(req *simRequest, now time.Time) {
	if req.unread--; req.unread > 0 || req.left {
		return
	}
	led := req.lead
	if len(led.writing) == 0 && len(led.read) == 0 {
		led.left = batching.Stride + 1
	}
	led.read = append(led.read, req)
	if led.idle {
		wor.proceed(led, now)
	}
}

// endPass sends an event of every answer.
func (wor *world) endPass(eng *simEngine, now time.Time) {
	for _, req := range eng.writing {
		wor.event(req, now)
	}
	for _, req := range eng.read {
		wor.event(req, now)
	}
	eng.writing = append(eng.writing, eng.read...)
	eng.read = nil
	eng.writing = slices.DeleteFunc(eng.writing, func(req *simRequest) bool { return req.finished })
}

func (wor *world) event(req *simRequest, now time.Time) {
	if req.first.IsZero() {
		req.first = now
		wor.at(now.Add(4*time.Millisecond), func(now time.Time) { wor.next(Began{req.id}, now) })
	} else {
		req.longest = max(req.longest, now.Sub(req.last))
	}
	req.last = now
	if req.events--; req.events == 0 {
		req.finished = true
		wor.at(now.Add(4*time.Millisecond), func(now time.Time) { wor.next(Ended{req.id}, now) })
	}
}

// share is the part of a class's requests for which a report holds.
func (wor *world) share(cla int, has func(*simRequest) bool) float64 {
	all, num := 0, 0
	for _, req := range wor.order {
		if req.class == cla {
			all++
			if has(req) {
				num++
			}
		}
	}
	if all == 0 {
		return 1
	}
	return float64(num) / float64(all)
}
