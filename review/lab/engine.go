package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of the engines, from the sheets of the small deployments.
const (
	engineMemory = 315_000
	engineSlots  = 16
	readPerMs    = 177.0
	pairsMsPerM  = 0.184
	stepMs       = 0.85
	contextMs    = 0.00285
	hopMs        = 0.05
	eventTokens  = 51
	chunkTokens  = 2048
)

// maxTickets is the number of tickets that an engine holds at most, maxHelpers that of the helpers of
// a request.
const (
	maxTickets = 64
	maxHelpers = 16
)

const (
	// ticketCheckPause is the interval at which a request checks its tickets.
	ticketCheckPause = 20 * time.Millisecond
	// crashDelay is the time from the first event of an answer to the crash of its engine.
	crashDelay = 5 * time.Millisecond
)

// ticket is memory that is set aside.
type ticket struct {
	tokens int64
	until  time.Time
	used   int
	// lapsed is closed when the ticket is released or lapses.
	lapsed chan struct{}
}

// Pool are the engines of a service, which know each other.
type Pool struct {
	Record  *Record
	Service string

	mu      sync.Mutex
	engines map[string]*Engine
	// crashingPart is the part of prompts on which engines crash; empty for none. arrivals and
	// crashes are the times at which requests with it arrived and engines crashed.
	crashingPart string
	downTime     time.Duration
	arrivals     []time.Time
	crashes      []time.Time
	// runs are the engines that have run each request.
	runs map[string][]string
}

// Engine is a stand-in for a model server.
type Engine struct {
	ID      string
	Address string
	Zone    string
	pool    *Pool
	born    time.Time
	tickets map[string]*ticket
	store   *Store
	server  *http.Server
	down    bool
	running int
	// reading counts the prompts of which the engine reads a part.
	reading int
	memory  int64
	orders  int
}

// NewPool returns a pool without engines.
func NewPool(rec *Record, service string) *Pool {
	return &Pool{Record: rec, Service: service, engines: map[string]*Engine{}, runs: map[string][]string{}}
}

// Add starts an engine and writes its entry to the store.
func (poo *Pool) Add(sto *Store, id, zone, address string) error {
	eng := &Engine{ID: id, Address: address, Zone: zone, pool: poo, born: time.Now(), tickets: map[string]*ticket{}}
	poo.mu.Lock()
	poo.engines[address] = eng
	poo.mu.Unlock()
	eng.store = sto
	return eng.listen()
}

// listen starts the engine's server and writes its entry to the store.
func (eng *Engine) listen() error {
	lis, err := net.Listen("tcp", eng.Address)
	if err != nil {
		return err
	}
	eng.server = &http.Server{Handler: eng, ReadHeaderTimeout: time.Minute}
	go func(ser *http.Server) { _ = ser.Serve(lis) }(eng.server)
	eng.store.Put("servers", eng.ID, map[string]any{
		"service": eng.pool.Service, "address": eng.Address, "zone": eng.Zone, "version": "v1", "slots": engineSlots, "state": "ready", "coldRemainingMs": 0,
		"stage": "both", "models": models(), "sequence": 1, "born": eng.born.UnixMilli(),
	})
	return nil
}

// SetCrashingPart sets the part of prompts on which engines crash, and how long they are down then.
func (poo *Pool) SetCrashingPart(part string, downTime time.Duration) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.crashingPart, poo.downTime = part, downTime
	poo.Record.Printf("from now on each engine that begins to write an answer on the part %s crashes, and is back after %s", part, downTime)
}

// PartTimes returns when requests with the crashing part arrived at engines, and when engines crashed.
func (poo *Pool) PartTimes() (arrivals, crashes []time.Time) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return append([]time.Time(nil), poo.arrivals...), append([]time.Time(nil), poo.crashes...)
}

// crash ends the engine's server with all its channels, and starts it again under the same ID after
// the pool's down time.
func (eng *Engine) crash(cause string) {
	eng.pool.mu.Lock()
	if eng.down {
		eng.pool.mu.Unlock()
		return
	}
	eng.down = true
	eng.pool.crashes = append(eng.pool.crashes, time.Now())
	ser, wait := eng.server, eng.pool.downTime
	for id := range eng.tickets {
		eng.drop(id)
	}
	eng.orders = 0
	eng.pool.mu.Unlock()
	eng.pool.Record.Printf("%s: crashes after the first event that it has written for %s", eng.ID, cause)
	_ = ser.Close()
	time.AfterFunc(wait, func() {
		eng.pool.mu.Lock()
		eng.down, eng.born = false, time.Now()
		eng.pool.mu.Unlock()
		if err := eng.listen(); err != nil {
			eng.pool.Record.Printf("%s: can't start again: %v", eng.ID, err)
			return
		}
		eng.pool.Record.Printf("%s: is back", eng.ID)
	})
}

// recordArrival records that a request with the crashing part has arrived.
func (poo *Pool) recordArrival() {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.arrivals = append(poo.arrivals, time.Now())
}

// crashesOn reports whether the engine crashes on a prompt.
func (poo *Pool) crashesOn(prefix string) bool {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return poo.crashingPart != "" && strings.Contains(prefix, poo.crashingPart+":")
}

func models() []any {
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
}

// Entry returns the service in a configuration.
func (poo *Pool) Entry() map[string]any {
	return map[string]any{"name": poo.Service, "healthPath": "/healthz", "maxConnections": 909, "engine": engineParameters()}
}

func engineParameters() map[string]any {
	return map[string]any{
		"slots": engineSlots, "kvCapacityTokens": engineMemory, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": eventTokens,
		"models": []any{map[string]any{"name": "m"}}, "step_ms": stepMs, "per_seq_ms": 0.00425, "context_per_k": contextMs, "read_per_s": readPerMs * 1000,
		"pairs_per_m": pairsMsPerM, "chunk": chunkTokens, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 11108, "answer": 1622}, "hopMs": hopMs,
	}
}

// expire must be called with the pool's mu held.
func (eng *Engine) expire(now time.Time) {
	for id, tic := range eng.tickets {
		if now.After(tic.until) {
			eng.drop(id)
		}
	}
}

func (eng *Engine) drop(id string) {
	if tic := eng.tickets[id]; tic != nil {
		close(tic.lapsed)
		delete(eng.tickets, id)
	}
}

// ServeHTTP answers reports, orders and requests.
func (eng *Engine) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	switch {
	case htr.URL.Path == "/healthz":
		wri.Header().Set("Instance-Id", eng.ID)
		wri.WriteHeader(http.StatusOK)
	case htr.Method == http.MethodGet && htr.URL.Path == "/v1/report":
		eng.report(wri)
	case htr.Method == http.MethodPost && htr.URL.Path == "/v1/order":
		eng.order(wri, htr)
	case htr.Header.Get("Request-Id") == "":
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusBadRequest)
	case htr.Header.Get("Expected-Instance") != "" && htr.Header.Get("Expected-Instance") != eng.ID:
		wri.Header().Set("Instance-Id", eng.ID)
		wri.WriteHeader(http.StatusMisdirectedRequest)
	default:
		eng.run(wri, htr)
	}
}

func (eng *Engine) report(wri http.ResponseWriter) {
	now := time.Now()
	eng.pool.mu.Lock()
	eng.expire(now)
	used := eng.memory
	tickets := []any{}
	for id, tic := range eng.tickets {
		used += tic.tokens
		state := "held"
		if tic.used > 0 {
			state = "used"
		}
		tickets = append(tickets, map[string]any{"id": id, "tokens": tic.tokens, "state": state, "ageMs": 0})
	}
	running, orders := eng.running, eng.orders
	eng.pool.mu.Unlock()
	writeJSON(wri, http.StatusOK, map[string]any{
		"stage": "both", "models": models(), "busy": false, "sequence": orders, "waiting": 0, "running": running, "kvUsed": used, "kvTotal": engineMemory,
		"handles": 0, "pace": 1, "tickets": tickets, "born": eng.born.UnixMilli(),
	})
}

type orderBody struct {
	Operation string `json:"operation"`
	ID        string `json:"id"`
	Tokens    int64  `json:"tokens"`
	HoldMs    int64  `json:"holdMs"`
}

func (eng *Engine) order(wri http.ResponseWriter, htr *http.Request) {
	var ord orderBody
	if err := json.NewDecoder(htr.Body).Decode(&ord); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	status := eng.apply(ord)
	eng.pool.mu.Lock()
	free := engineMemory - eng.memory
	for _, tic := range eng.tickets {
		free -= tic.tokens
	}
	eng.pool.mu.Unlock()
	writeJSON(wri, status, map[string]any{"free": free})
}

// apply carries out an order and returns its status.
func (eng *Engine) apply(ord orderBody) int {
	eng.pool.mu.Lock()
	defer eng.pool.mu.Unlock()
	now := time.Now()
	eng.expire(now)
	eng.orders++
	if ord.Operation == "release" {
		eng.drop(ord.ID)
		return http.StatusOK
	}
	if ord.Operation != "reserve" {
		return http.StatusBadRequest
	}
	until := now.Add(time.Duration(ord.HoldMs) * time.Millisecond)
	if tic := eng.tickets[ord.ID]; tic != nil {
		tic.until = until
		return http.StatusOK
	}
	taken := eng.memory
	for _, tic := range eng.tickets {
		taken += tic.tokens
	}
	if ord.Tokens > engineMemory {
		return http.StatusBadRequest
	}
	if taken+ord.Tokens > engineMemory || len(eng.tickets) >= maxTickets {
		return http.StatusConflict
	}
	eng.tickets[ord.ID] = &ticket{tokens: ord.Tokens, until: until, lapsed: make(chan struct{})}
	return http.StatusOK
}

// helper is an entry of the header Helpers.
type helper struct{ address, ticket string }

func helpersOf(value string) []helper {
	var out []helper
	for entry := range strings.SplitSeq(value, ",") {
		if entry = strings.TrimSpace(entry); entry != "" {
			address, id, _ := strings.Cut(entry, "/")
			out = append(out, helper{address, id})
		}
	}
	return out
}

// take marks the tickets of a request as used, and returns them; nil if one is missing.
func (poo *Pool) take(hels []helper) ([]*ticket, bool) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	var out []*ticket
	for _, hel := range hels {
		eng := poo.engines[hel.address]
		if eng == nil {
			return nil, false
		}
		if hel.ticket == "" {
			continue
		}
		eng.expire(time.Now())
		tic := eng.tickets[hel.ticket]
		if tic == nil {
			return nil, false
		}
		out = append(out, tic)
	}
	for _, tic := range out {
		tic.used++
	}
	return out, true
}

// free ends the use of tickets.
func (poo *Pool) free(tickets []*ticket) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for _, tic := range tickets {
		tic.used--
	}
}

// beginReading records that a prompt is read by an engine and its helpers, until ended is called.
func (poo *Pool) beginReading(lead *Engine, hels []helper) (ended func()) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	readers := map[*Engine]bool{lead: true}
	for _, hel := range hels {
		readers[poo.engines[hel.address]] = true
	}
	for eng := range readers {
		eng.reading++
	}
	return func() {
		poo.mu.Lock()
		defer poo.mu.Unlock()
		for eng := range readers {
			eng.reading--
		}
	}
}

// execution is the run of a request at the engine that leads it.
type execution struct {
	*Engine
	id      string
	helpers []helper
	tickets []*ticket
	prompt  float64
	// parts is the number of engines that read the prompt.
	parts        float64
	last, events int
	gone         <-chan struct{}
}

// run prefills a prompt with the helpers and streams its answer.
func (eng *Engine) run(wri http.ResponseWriter, htr *http.Request) {
	exe := execution{Engine: eng, id: htr.Header.Get("Request-Id"), helpers: helpersOf(htr.Header.Get("Helpers")), gone: htr.Context().Done()}
	crashes := eng.pool.crashesOn(htr.Header.Get("Prompt-Prefix"))
	if crashes {
		eng.pool.recordArrival()
	}
	var ok bool
	if exe.tickets, ok = eng.pool.take(exe.helpers); !ok || len(exe.helpers) > maxHelpers {
		eng.pool.Record.Printf("%s: %s rejected: a helper or its ticket is missing", eng.ID, exe.id)
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer eng.pool.free(exe.tickets)
	prompt, answer := tokenUsage(htr.Header.Get("Token-Usage"))
	exe.prompt, exe.events = float64(prompt), max(1, (answer+eventTokens-1)/eventTokens)
	exe.last, _ = strconv.Atoi(htr.Header.Get("Last-Event-Id"))
	for _, hel := range exe.helpers {
		if hel.address != eng.Address {
			exe.parts++
		}
	}
	exe.parts++
	eng.pool.Record.Printf("%s: %s runs, %d prompt tokens, after event %d of %d, tenant %q", eng.ID, exe.id, prompt, exe.last, exe.events, htr.Header.Get("Tenant"))
	eng.pool.recordRun(exe.id, eng.ID)
	defer exe.occupy()()
	if !exe.prefill() {
		eng.pool.Record.Printf("%s: %s is cut off while it is read", eng.ID, exe.id)
		panic(http.ErrAbortHandler)
	}
	if crashes {
		// It has begun to write the answer when it ends.
		exe.events = exe.last + 1
		exe.stream(wri)
		time.Sleep(crashDelay)
		eng.crash(exe.id)
		panic(http.ErrAbortHandler)
	}
	exe.stream(wri)
	eng.pool.Record.Printf("%s: %s has ended", eng.ID, exe.id)
}

// recordRun records that an engine runs a request.
func (poo *Pool) recordRun(id, engine string) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.runs[id] = append(poo.runs[id], engine)
}

// Runs returns the engines that have run a request.
func (poo *Pool) Runs(id string) []string {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return append([]string(nil), poo.runs[id]...)
}

// AddMany starts engines in all zones.
func (poo *Pool) AddMany(sto *Store, count int) error {
	for i := range count {
		if err := poo.Add(sto, fmt.Sprintf("i-%s-%d", poo.Service, i+1), Zones[i%len(Zones)], FreeAddress(150+i)); err != nil {
			return err
		}
	}
	return nil
}

// occupy counts the request on the engine until the returned function is called.
func (exe execution) occupy() (leave func()) {
	var memory int64
	if len(exe.tickets) == 0 {
		memory = int64(exe.prompt)
	}
	add := func(requests int, tokens int64) {
		exe.pool.mu.Lock()
		defer exe.pool.mu.Unlock()
		exe.running += requests
		exe.memory += tokens
	}
	add(1, memory)
	return func() { add(-1, -memory) }
}

// prefill waits for the time that the engines need to read the prompt.
func (exe execution) prefill() bool {
	ended := exe.pool.beginReading(exe.Engine, exe.helpers)
	defer ended()
	return exe.wait((exe.prompt/readPerMs + pairsMsPerM*exe.prompt*exe.prompt/2e6) / exe.parts)
}

// stream writes the events of the answer.
func (exe execution) stream(wri http.ResponseWriter) {
	wri.Header().Set("Request-Id", exe.id)
	wri.Header().Set("Response-Seal", "seal."+exe.ID+"."+exe.id)
	wri.Header().Set("Content-Type", "text/event-stream")
	wri.Header().Set("Weight-Versions", "1")
	ctl := http.NewResponseController(wri)
	for n := exe.last + 1; n <= exe.events; n++ {
		fmt.Fprintf(wri, "id: %d\ndata: %s piece %d\n\n", n, exe.id, n)
		_ = ctl.Flush()
		if n < exe.events && !exe.wait(exe.passTime()) {
			exe.pool.Record.Printf("%s: %s is cut off after event %d", exe.ID, exe.id, n)
			panic(http.ErrAbortHandler)
		}
	}
}

// passTime returns the time of a pass in ms. Each of its steps may also read a chunk of other prompts.
func (exe execution) passTime() float64 {
	context := exe.prompt / exe.parts
	for _, tic := range exe.tickets {
		context = max(context, float64(tic.tokens))
	}
	step := stepMs + contextMs*context/1000 + hopMs
	exe.pool.mu.Lock()
	defer exe.pool.mu.Unlock()
	if exe.reading > 0 {
		step += chunkTokens / readPerMs
	}
	return eventTokens * step
}

// wait waits for a time in ms. It returns false if a ticket of the request lapses or its caller
// leaves before.
func (exe execution) wait(ms float64) bool {
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	tic := time.NewTicker(ticketCheckPause)
	defer tic.Stop()
	for {
		select {
		case <-timer.C:
			return !exe.hasLapsed()
		case <-exe.gone:
			return false
		case <-tic.C:
			if exe.hasLapsed() {
				return false
			}
		}
	}
}

// hasLapsed reports whether a ticket of the request has lapsed or was released.
func (exe execution) hasLapsed() bool {
	for _, tic := range exe.tickets {
		select {
		case <-tic.lapsed:
			return true
		default:
		}
	}
	return false
}

func tokenUsage(value string) (prompt, answer int) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(first)
	answer, _ = strconv.Atoi(second)
	return prompt, answer
}
