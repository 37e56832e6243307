package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Execution is a run of a request at a server.
type Execution struct {
	Server  string
	Service string
	Tenant  string
	HasKey  bool
	At      time.Time
}

// Service are the servers of a plain service.
type Service struct {
	Record *Record
	Name   string
	// Work is how long a request runs.
	Work time.Duration

	mu   sync.Mutex
	runs map[string][]Execution
}

// NewService returns a service without servers.
func NewService(rec *Record, name string, work time.Duration) *Service {
	return &Service{Record: rec, Name: name, Work: work, runs: map[string][]Execution{}}
}

// Runs returns the runs of a request.
func (ser *Service) Runs(id string) []Execution {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	return append([]Execution(nil), ser.runs[id]...)
}

// Add starts a server and writes its entry to the store.
func (ser *Service) Add(sto *Store, id, zone, address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	han := http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) { ser.serve(id, wri, htr) })
	go func() { _ = (&http.Server{Handler: han, ReadHeaderTimeout: time.Minute}).Serve(lis) }()
	sto.Put("servers", id, map[string]any{
		"service": ser.Name, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// AddMany starts servers in the first zone.
func (ser *Service) AddMany(sto *Store, count int) error {
	for i := range count {
		if err := ser.Add(sto, fmt.Sprintf("i-%s-%d", ser.Name, i+1), "mu-north", FreeAddress(100+i)); err != nil {
			return err
		}
	}
	return nil
}

func (ser *Service) serve(server string, wri http.ResponseWriter, htr *http.Request) {
	id := htr.Header.Get("Request-Id")
	switch {
	case htr.URL.Path == "/healthz":
		wri.Header().Set("Instance-Id", server)
		return
	case id == "":
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusBadRequest)
		return
	case htr.Header.Get("Expected-Instance") != "" && htr.Header.Get("Expected-Instance") != server:
		wri.Header().Set("Instance-Id", server)
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, htr.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	exe := Execution{Server: server, Service: ser.Name, Tenant: htr.Header.Get("Tenant"), HasKey: htr.Header.Get("Authorization") != "", At: time.Now()}
	ser.mu.Lock()
	ser.runs[id] = append(ser.runs[id], exe)
	ser.mu.Unlock()
	ser.Record.Printf("%s: %s runs for the tenant %q", server, id, exe.Tenant)
	time.Sleep(ser.Work)
	body := strings.Repeat(fmt.Sprintf("answer of %s\n", id), 20)
	wri.Header().Set("Request-Id", id)
	wri.Header().Set("Response-Seal", "seal."+server+"."+id)
	wri.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(wri, body)
}
