package standins

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for a server of a plain service. It runs one request at a time in
// each of its slots and queues as many others as it has slots.
type Server struct {
	ID      string
	Service string
	Zone    string
	Address string

	fleet *Fleet
	slots chan struct{}
	queue atomic.Int64
	born  time.Time
	work  func(htr *http.Request) time.Duration
	srv   *http.Server

	mu        sync.Mutex
	runs      map[string]int
	onArrival func(id string)
	// spoilEach is the interval of spoiled answers; 0 for none. answers counts the answers.
	spoilEach int
	answers   int
}

// Work returns how long a server works on a request.
type Work = func(htr *http.Request) time.Duration

// AddServer starts a server and registers it in the store as ready.
func (fle *Fleet) AddServer(id, service, zone string, slots int, work Work) (*Server, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(fle.NewIP(), "0"))
	if err != nil {
		return nil, err
	}
	ser := &Server{ID: id, Service: service, Zone: zone, Address: lis.Addr().String(), fleet: fle, slots: make(chan struct{}, slots), born: time.Now(), work: work, runs: map[string]int{}}
	ser.srv = &http.Server{Handler: ser}
	go func() { _ = ser.srv.Serve(lis) }()
	ser.Report("ready")
	return ser, nil
}

// Entry is what a server writes of itself into the store.
type Entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdMs   int    `json:"coldRemainingMs"`
	Sequence int    `json:"sequence"`
	// Born is the start of the server in Unix milliseconds.
	Born int64 `json:"born"`
}

// Entry returns the server's entry with a state.
func (ser *Server) Entry(state string) Entry {
	return Entry{ser.Service, ser.Address, ser.Zone, "v1", cap(ser.slots), state, 0, 0, ser.born.UnixMilli()}
}

// Report writes the server's entry with a state, and returns the time of the ack.
func (ser *Server) Report(state string) time.Time {
	return ser.fleet.Store.Put("servers", ser.ID, ser.Entry(state))
}

// SpoilOneIn lets the server spoil one in so many of its answers.
func (ser *Server) SpoilOneIn(each int) {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.spoilEach = each
}

// spoils counts an answer and reports whether it is to be spoiled.
func (ser *Server) spoils() bool {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.answers++
	return ser.spoilEach > 0 && ser.answers%ser.spoilEach == 0
}

// writeSpoiled writes an answer in chunks that says HTTP/1.0, which has no chunks, and closes
// the channel.
func (ser *Server) writeSpoiled(wri http.ResponseWriter, id string) {
	con, buf, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer con.Close()
	ser.fleet.Record.Printf("%s spoils its answer to %s: HTTP/1.0 with chunks", ser.ID, id)
	body := Answer(id)
	fmt.Fprintf(buf, "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, ser.ID, id, len(body), body)
	_ = buf.Flush()
}

// SetOnArrival sets a function that is called for each request that arrives.
func (ser *Server) SetOnArrival(fn func(id string)) {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.onArrival = fn
}

// Close ends the server.
func (ser *Server) Close() error { return ser.srv.Close() }

// Runs returns how often a request has run here.
func (ser *Server) Runs(id string) int {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	return ser.runs[id]
}

// ServeHTTP answers one request.
func (ser *Server) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	id := htr.Header.Get("Request-Id")
	if id != "" {
		wri.Header().Set("Request-Id", id)
	}
	switch {
	case id == "":
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusBadRequest)
		return
	case htr.Header.Get("Expected-Instance") != ser.ID:
		wri.Header().Set("Instance-Id", ser.ID)
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ser.mu.Lock()
	onArrival := ser.onArrival
	ser.mu.Unlock()
	if onArrival != nil {
		onArrival(id)
	}
	body, err := io.ReadAll(htr.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := htr.Context()
	if left, err := time.ParseDuration(htr.Header.Get("Request-Deadline") + "ms"); err == nil {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, left)
		defer stop()
	}
	if !ser.enter(ctx) {
		ser.fleet.Record.Printf("%s refuses %s, not executed", ser.ID, id)
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-ser.slots }()
	ser.run(ctx, wri, htr, id, len(body))
}

// enter waits for a slot. It returns false if the queue is full or the time is over.
func (ser *Server) enter(ctx context.Context) bool {
	defer ser.queue.Add(-1)
	if ser.queue.Add(1) > int64(cap(ser.slots)) {
		return false
	}
	select {
	case ser.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (ser *Server) run(ctx context.Context, wri http.ResponseWriter, htr *http.Request, id string, size int) {
	ser.mu.Lock()
	ser.runs[id]++
	ser.mu.Unlock()
	work := ser.work(htr)
	ser.fleet.Record.Printf("%s runs %s with a body of %d bytes for %s, deadline %s ms", ser.ID, id, size, work, htr.Header.Get("Request-Deadline"))
	select {
	case <-time.After(work):
	case <-ctx.Done():
		ser.fleet.Record.Printf("%s stops %s: %s", ser.ID, id, ctx.Err())
		wri.Header().Set("Response-Seal", ser.ID+"."+id)
		wri.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if ser.spoils() {
		ser.writeSpoiled(wri, id)
		return
	}
	ser.fleet.Record.Printf("%s has answered %s", ser.ID, id)
	wri.Header().Set("Response-Seal", ser.ID+"."+id)
	_, _ = io.WriteString(wri, Answer(id))
}

// Answer returns the body of the answer to a request.
func Answer(id string) string { return "answer to " + id }
