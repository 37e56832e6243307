package rig3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a server has received.
type Run struct {
	ID string
	// From is the address of the daemon that sent the request.
	From string
	At   time.Time
	// Body and Header are what the server received.
	Body   []byte
	Header http.Header
	// Executed says that the server began to work on the request.
	Executed bool
}

// Server is a stand-in of a server of a service. It runs requests, or answers with streams if
// Events is not 0.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Record  *Record
	// Work is the time until the answer or, of a stream, until its first event. Events is the
	// number of events of a stream, Gap the pause between two.
	Work   time.Duration
	Events int
	Gap    time.Duration
	// EarlyHead sends the head of a stream before its first event is due.
	EarlyHead bool
	// CrashPart is a part of prompts on which the server crashes when it begins to write the
	// answer; empty for none. It is back DownFor later.
	CrashPart string
	DownFor   time.Duration
	// OnCrash is called when the server has crashed, and OnReturn when it is back.
	OnCrash  func()
	OnReturn func()

	address string
	mu      sync.Mutex
	server  *http.Server
	born    int64
	runs    []Run
	running int
	crashes []time.Time
	down    bool
	leaving bool
	orders  map[string]time.Time
}

// Start listens on an address of the given IP.
func (ser *Server) Start(ip string) error {
	if ser.address == "" {
		ser.address = ip + ":0"
	}
	lis, err := net.Listen("tcp", ser.address)
	if err != nil {
		return err
	}
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.address, ser.born, ser.running, ser.down = lis.Addr().String(), time.Now().UnixMilli(), 0, false
	ser.orders = map[string]time.Time{}
	ser.server = &http.Server{Handler: ser, ReadHeaderTimeout: 30 * time.Second}
	go func(server *http.Server) { _ = server.Serve(lis) }(ser.server)
	return nil
}

// Close ends the server; its connections are closed.
func (ser *Server) Close() {
	ser.mu.Lock()
	server := ser.server
	ser.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Entry returns the spec of the server's entry in the store.
func (ser *Server) Entry(state string) map[string]any {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	return map[string]any{
		"service": ser.Service, "address": ser.address, "zone": ser.Zone, "version": "v1", "slots": ser.Slots, "state": state,
		"coldRemainingMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1, "born": ser.born,
	}
}

// SetLeaving makes the server say in all its answers that it leaves.
func (ser *Server) SetLeaving() {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.leaving = true
}

// Runs returns the requests received so far, without those that it turned away with 421.
func (ser *Server) Runs() []Run {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	return slices.Clone(ser.runs)
}

// Crashes returns the times at which the server has crashed.
func (ser *Server) Crashes() []time.Time {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	return slices.Clone(ser.crashes)
}

// ServeHTTP answers a request, a report or an order.
func (ser *Server) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	switch htr.URL.Path {
	case "/v1/report":
		ser.report(wri)
		return
	case "/v1/order":
		ser.order(wri, htr)
		return
	}
	id := htr.Header.Get("Request-Id")
	if expected := htr.Header.Get("Expected-Instance"); expected != "" && expected != ser.ID {
		wri.Header().Set("Instance-Id", ser.ID)
		wri.Header().Set("Request-Id", id)
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(htr.Body)
	if err != nil {
		return
	}
	ser.add(Run{ID: id, From: htr.RemoteAddr, At: time.Now(), Body: body, Header: htr.Header.Clone(), Executed: true})
	defer ser.end()
	ser.Record.Line(ser.ID, "runs "+id+" from "+hostOf(htr.RemoteAddr))
	if ser.Events == 0 {
		ser.answer(wri, htr, id)
		return
	}
	ser.stream(wri, htr, id)
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (ser *Server) add(run Run) {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.runs = append(ser.runs, run)
	ser.running++
}

func (ser *Server) end() {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.running = max(0, ser.running-1)
}

func (ser *Server) setHead(wri http.ResponseWriter, id string) {
	ser.mu.Lock()
	leaving := ser.leaving
	ser.mu.Unlock()
	wri.Header().Set("Request-Id", id)
	wri.Header().Set("Response-Seal", "seal."+ser.ID+"."+id)
	if leaving {
		wri.Header().Set("Server-Leaving", "1")
		wri.Header().Set("Connection", "close")
	}
}

func (ser *Server) answer(wri http.ResponseWriter, htr *http.Request, id string) {
	select {
	case <-time.After(ser.Work):
	case <-htr.Context().Done():
		return
	}
	body := []byte(fmt.Sprintf(`{"server":%q,"request":%q}`, ser.ID, id))
	ser.setHead(wri, id)
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = wri.Write(body)
}

// stream sends the events after the one that the caller received last.
func (ser *Server) stream(wri http.ResponseWriter, htr *http.Request, id string) {
	ctl := http.NewResponseController(wri)
	ser.setHead(wri, id)
	wri.Header().Set("Content-Type", "text/event-stream")
	if ser.EarlyHead {
		wri.WriteHeader(http.StatusOK)
		_ = ctl.Flush()
	}
	if !pause(htr, ser.Work) {
		return
	}
	if ser.CrashPart != "" && slices.Contains(PartsOf(htr.Header.Get("Prompt-Prefix")), ser.CrashPart) {
		ser.crash(id)
		return
	}
	last, _ := strconv.Atoi(htr.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= ser.Events; event++ {
		if event > last+1 && !pause(htr, ser.Gap) {
			return
		}
		if _, err := fmt.Fprintf(wri, "id: %d\ndata: %s\n\n", event, id); err != nil || ctl.Flush() != nil {
			return
		}
	}
}

func pause(htr *http.Request, dur time.Duration) bool {
	select {
	case <-time.After(dur):
		return true
	case <-htr.Context().Done():
		return false
	}
}

// PartsOf returns the IDs of the parts of a prompt.
func PartsOf(prefix string) []string {
	var out []string
	for entry := range strings.SplitSeq(prefix, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		out = append(out, id)
	}
	return out
}

// crash ends the server and starts it again later, at the same address.
func (ser *Server) crash(id string) {
	ser.mu.Lock()
	server := ser.server
	down := ser.down
	if !down {
		ser.down = true
		ser.crashes = append(ser.crashes, time.Now())
	}
	ser.mu.Unlock()
	if down {
		return
	}
	ser.Record.Line(ser.ID, "crashes on "+id)
	_ = server.Close()
	if ser.OnCrash != nil {
		ser.OnCrash()
	}
	time.AfterFunc(ser.DownFor, func() {
		if err := ser.Start(""); err != nil {
			ser.Record.Line(ser.ID, "could not start again: "+err.Error())
			return
		}
		ser.Record.Line(ser.ID, "is back")
		if ser.OnReturn != nil {
			ser.OnReturn()
		}
	})
}

// report answers with the load of an engine.
func (ser *Server) report(wri http.ResponseWriter) {
	ser.mu.Lock()
	running, tickets := ser.running, []any{}
	for id, until := range ser.orders {
		if time.Now().Before(until) {
			tickets = append(tickets, map[string]any{"id": id, "tokens": 1000, "state": "held", "ageMs": 0})
		}
	}
	born := ser.born
	ser.mu.Unlock()
	answer(wri, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": running, "kvUsed": running * 5000, "kvTotal": 315000,
		"handles": 0, "pace": 1.0, "tickets": tickets, "born": born,
	})
}

// order answers an order to reserve or release memory.
func (ser *Server) order(wri http.ResponseWriter, htr *http.Request) {
	var ord struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		HoldMs    int64  `json:"holdMs"`
	}
	if err := json.NewDecoder(htr.Body).Decode(&ord); err != nil {
		answer(wri, http.StatusBadRequest, map[string]any{})
		return
	}
	ser.mu.Lock()
	defer ser.mu.Unlock()
	switch ord.Operation {
	case "reserve":
		ser.orders[ord.ID] = time.Now().Add(time.Duration(ord.HoldMs) * time.Millisecond)
	case "release":
		delete(ser.orders, ord.ID)
	}
	answer(wri, http.StatusOK, map[string]any{"free": 100000})
}
