package standins

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineSpec holds the performance parameters of a service's engines.
type EngineSpec struct {
	Slots     int     `json:"slots"`
	Memory    int64   `json:"kvCapacityTokens"`
	Stride    int     `json:"stride"`
	StepMs    float64 `json:"step_ms"`
	PerSeqMs  float64 `json:"per_seq_ms"`
	ContextMs float64 `json:"context_per_k"`
	ReadRate  float64 `json:"read_per_s"`
	PairsMs   float64 `json:"pairs_per_m"`
	Chunk     int64   `json:"chunk"`
	LagMs     float64 `json:"report_lag_ms"`
	HopMs     float64 `json:"hopMs"`
	Usual     struct {
		Prompt int `json:"prompt"`
		Answer int `json:"answer"`
	} `json:"usual"`
}

// NewEngineSpec returns the parameters of the engines of wpw-colombo.
func NewEngineSpec() *EngineSpec {
	spec := &EngineSpec{Slots: 16, Memory: 315000, Stride: 51, StepMs: 0.85, PerSeqMs: 0.00425, ContextMs: 0.00285, ReadRate: 177000, PairsMs: 0.184, Chunk: 2048, LagMs: 200, HopMs: 0.05}
	spec.Usual.Prompt, spec.Usual.Answer = 11108, 1622
	return spec
}

// readTime returns how long a number of engines together read a prompt.
func (spec *EngineSpec) readTime(tokens int64, engines int) time.Duration {
	ms := float64(tokens)/spec.ReadRate*1000 + float64(tokens)*float64(tokens)/2/1e6*spec.PairsMs
	return time.Duration(ms / float64(engines) * float64(time.Millisecond))
}

// passTime returns the time between two events of an answer whose prompt is divided.
func (spec *EngineSpec) passTime(tokens int64, engines int) time.Duration {
	step := spec.StepMs + spec.PerSeqMs + spec.ContextMs*float64(tokens)/1000/float64(engines) + spec.HopMs
	return time.Duration(step * float64(spec.Stride) * float64(time.Millisecond))
}

// Ticket is memory that is set aside on an engine.
type Ticket struct {
	Engine string
	ID     string
	Tokens int64
	// Since is when the memory was set aside, until when it lapses without a renewal.
	Since time.Time
	until time.Time
	users int
	// Used is when the last request that used it ended; zero if none did.
	Used time.Time
}

// Engines are the model servers of one service.
type Engines struct {
	Spec *EngineSpec
	// Loses decides whether the answer of a run is lost.
	Loses func(id string) bool
	// OnTicket is called at intervals with each ticket that is set aside and not in use.
	OnTicket func(tic Ticket, now time.Time)

	fleet *Fleet
	mu    sync.Mutex
	all   map[string]*Engine
}

// Engine is a stand-in for one model server. The requests of a case do not overlap on an
// engine, so that its model of time is that of a single request.
type Engine struct {
	ID      string
	Address string

	engines *Engines
	service string
	born    time.Time
	tickets map[string]*Ticket
	// running is the number of requests that run here, or for which this engine reads or
	// holds a part.
	running int
	srv     *http.Server
}

// AddEngines starts engines and registers them in the store as ready.
func (fle *Fleet) AddEngines(service string, count int) (*Engines, error) {
	engs := &Engines{Spec: NewEngineSpec(), fleet: fle, all: map[string]*Engine{}}
	for i := range count {
		lis, err := net.Listen("tcp", net.JoinHostPort(fle.NewIP(), "0"))
		if err != nil {
			return nil, err
		}
		eng := &Engine{ID: fmt.Sprintf("i-%s-%d", service, i+1), Address: lis.Addr().String(), engines: engs, service: service, born: time.Now(), tickets: map[string]*Ticket{}}
		eng.srv = &http.Server{Handler: eng}
		engs.all[eng.Address] = eng
		go func() { _ = eng.srv.Serve(lis) }()
		fle.Store.Put("servers", eng.ID, struct {
			Service  string `json:"service"`
			Address  string `json:"address"`
			Zone     string `json:"zone"`
			Version  string `json:"version"`
			Slots    int    `json:"slots"`
			State    string `json:"state"`
			ColdMs   int    `json:"coldRemainingMs"`
			Stage    string `json:"stage"`
			Sequence int    `json:"sequence"`
			Born     int64  `json:"born"`
		}{service, eng.Address, "colombo", "v1", engs.Spec.Slots, "ready", 0, "both", 0, eng.born.UnixMilli()})
	}
	return engs, nil
}

// Close ends all engines.
func (engs *Engines) Close() {
	for _, eng := range engs.all {
		eng.srv.Close()
	}
}

// Watch calls OnTicket until ctx ends, and removes tickets that lapse.
func (engs *Engines) Watch(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(pollInterval) {
		now := time.Now()
		engs.mu.Lock()
		for _, eng := range engs.all {
			for id, tic := range eng.tickets {
				switch {
				case now.After(tic.until):
					engs.fleet.Record.Printf("%s: ticket %s lapses", eng.ID, id)
					delete(eng.tickets, id)
				case tic.users == 0:
					engs.OnTicket(*tic, now)
				}
			}
		}
		engs.mu.Unlock()
	}
}

// ServeHTTP answers reports, orders and prompts.
func (eng *Engine) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	switch htr.URL.Path {
	case "/v1/report":
		eng.report(wri)
	case "/v1/order":
		eng.order(wri, htr)
	default:
		eng.prompt(wri, htr)
	}
}

func (eng *Engine) used() int64 {
	var used int64
	for _, tic := range eng.tickets {
		used += tic.Tokens
	}
	return used
}

// ticketReport is how a report lists a ticket.
type ticketReport struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	State  string `json:"state"`
	AgeMs  int64  `json:"ageMs"`
}

func (eng *Engine) report(wri http.ResponseWriter) {
	now := time.Now()
	eng.engines.mu.Lock()
	used, running := eng.used(), eng.running
	tickets := []ticketReport{}
	for _, tic := range eng.tickets {
		state := "held"
		if tic.users > 0 {
			state = "used"
		}
		tickets = append(tickets, ticketReport{tic.ID, tic.Tokens, state, now.Sub(tic.Since).Milliseconds()})
	}
	eng.engines.mu.Unlock()
	type model struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
	writeJSON(wri, http.StatusOK, struct {
		Stage    string         `json:"stage"`
		Models   []model        `json:"models"`
		Busy     bool           `json:"busy"`
		Sequence int            `json:"sequence"`
		Waiting  int            `json:"waiting"`
		Running  int            `json:"running"`
		Used     int64          `json:"kvUsed"`
		Total    int64          `json:"kvTotal"`
		Handles  int            `json:"handles"`
		Pace     float64        `json:"pace"`
		Born     int64          `json:"born"`
		Tickets  []ticketReport `json:"tickets"`
	}{"both", []model{{"m", 1, []string{}}}, false, 0, 0, running, used, eng.engines.Spec.Memory, 0, 1, eng.born.UnixMilli(), tickets})
}

func (eng *Engine) order(wri http.ResponseWriter, htr *http.Request) {
	var ord struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int64  `json:"tokens"`
		HoldMs    int64  `json:"holdMs"`
	}
	if err := json.NewDecoder(htr.Body).Decode(&ord); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	engs, now := eng.engines, time.Now()
	engs.mu.Lock()
	defer engs.mu.Unlock()
	tic := eng.tickets[ord.ID]
	switch {
	case ord.Operation == "release":
		engs.fleet.Record.Printf("%s: order to release %s", eng.ID, ord.ID)
		delete(eng.tickets, ord.ID)
	case ord.Operation != "reserve":
		wri.WriteHeader(http.StatusBadRequest)
		return
	case tic == nil && eng.used()+ord.Tokens > engs.Spec.Memory:
		wri.WriteHeader(http.StatusConflict)
		return
	case tic == nil:
		engs.fleet.Record.Printf("%s: order to reserve %d tokens for %s, for %d ms", eng.ID, ord.Tokens, ord.ID, ord.HoldMs)
		eng.tickets[ord.ID] = &Ticket{Engine: eng.ID, ID: ord.ID, Tokens: ord.Tokens, Since: now, until: now.Add(time.Duration(ord.HoldMs) * time.Millisecond)}
	default:
		engs.fleet.Record.Printf("%s: order to renew %s", eng.ID, ord.ID)
		tic.until = now.Add(time.Duration(ord.HoldMs) * time.Millisecond)
	}
	writeJSON(wri, http.StatusOK, struct {
		Free int64 `json:"free"`
	}{engs.Spec.Memory - eng.used()})
}

// take begins a run: it marks the tickets of the request as used. If a helper is gone or
// lacks a ticket, it does nothing and returns the address of that helper.
func (eng *Engine) take(helpers []string) (tickets []*Ticket, engines []*Engine, missing string) {
	engines = []*Engine{eng}
	for _, helper := range helpers {
		address, id, has := strings.Cut(helper, "/")
		other := eng.engines.all[address]
		if other == nil {
			return nil, nil, address
		}
		if other != eng {
			engines = append(engines, other)
		}
		if !has {
			continue
		}
		tic := other.tickets[id]
		if tic == nil {
			return nil, nil, address
		}
		tickets = append(tickets, tic)
	}
	for _, tic := range tickets {
		tic.users++
	}
	for _, other := range engines {
		other.running++
	}
	return tickets, engines, ""
}

// giveBack ends a run.
func (engs *Engines) giveBack(tickets []*Ticket, engines []*Engine) {
	engs.mu.Lock()
	defer engs.mu.Unlock()
	for _, tic := range tickets {
		tic.users--
		tic.Used = time.Now()
	}
	for _, eng := range engines {
		eng.running--
	}
}

func (eng *Engine) prompt(wri http.ResponseWriter, htr *http.Request) {
	id, engs := htr.Header.Get("Request-Id"), eng.engines
	wri.Header().Set("Request-Id", id)
	if htr.Header.Get("Expected-Instance") != eng.ID {
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, htr.Body)
	var helpers []string
	if value := htr.Header.Get("Helpers"); value != "" {
		helpers = strings.Split(value, ",")
	}
	prompt, answer := usageOf(htr)
	engs.mu.Lock()
	tickets, engines, missing := eng.take(helpers)
	engs.mu.Unlock()
	if missing != "" {
		engs.fleet.Record.Printf("%s refuses %s, not executed: %s lacks the ticket", eng.ID, id, missing)
		wri.Header().Set("Not-Executed", "1")
		wri.Header().Set("At-Server", missing)
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lost := engs.Loses(id)
	engs.fleet.Record.Printf("%s runs %s, %d tokens on %d engines, %d tickets; the answer is lost: %t", eng.ID, id, prompt, len(engines), len(tickets), lost)
	eng.write(wri, htr, id, engs.Spec.readTime(prompt, len(engines)), engs.Spec.passTime(prompt, len(engines)), answer/engs.Spec.Stride, lost)
	engs.giveBack(tickets, engines)
	engs.fleet.Record.Printf("%s: the run of %s has ended", eng.ID, id)
	if lost {
		<-htr.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func usageOf(htr *http.Request) (prompt int64, answer int) {
	first, second, _ := strings.Cut(htr.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.ParseInt(first, 10, 64)
	answer, _ = strconv.Atoi(second)
	return prompt, answer
}

// write makes the events of an answer and sends them, unless the answer is lost.
func (eng *Engine) write(wri http.ResponseWriter, htr *http.Request, id string, first, pause time.Duration, events int, lost bool) {
	last, _ := strconv.Atoi(htr.Header.Get("Last-Event-Id"))
	wait := first
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(wait):
		case <-htr.Context().Done():
			return
		}
		wait = pause
		if lost {
			continue
		}
		wri.Header().Set("Content-Type", "text/event-stream")
		wri.Header().Set("Response-Seal", eng.ID+"."+id)
		fmt.Fprintf(wri, "id: %d\ndata: %s-%d\n\n", n, id, n)
		_ = http.NewResponseController(wri).Flush()
	}
}
