// Package testkit starts fleets of real processes on loopback addresses for
// tests and measurements, and sends them requests.
package testkit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/process/server"
	"hemlockpin/version/parser"

	"github.com/rotisserie/eris"
)

const (
	startTimeout = 15 * time.Second
	pollPause    = 20 * time.Millisecond
	stopTimeout  = 10 * time.Second
)

// Plan describes a fleet.
type Plan struct {
	// Bin is the folder of the built programs.
	Bin string
	// Logs receives the output of all processes; nil discards it.
	Logs        io.Writer
	Hosts       int
	Engines     int
	Services    int
	DataCenters []string
	// Regions are assigned to hosts, engines and services by index, round
	// robin; empty for a fleet without regions.
	Regions      []string
	Model        string
	PlatformArgs []string
	EngineArgs   []string
	ServiceArgs  []string
	HostArgs     []string
	// HostArgsFor returns additional arguments of the host with the given
	// index; nil for none.
	HostArgsFor func(i int) []string
	// Tables are in force before Start returns, unless they have no pools.
	Tables parser.Tables
	// PlatformVia returns the address under which hosts reach the platform,
	// usually that of a Link; nil for the platform's own address. EndpointVia
	// and PeerVia do the same for the addresses of endpoints and for the peer
	// addresses that the platform lists.
	PlatformVia func(address string) string
	EndpointVia func(id, address string) string
	PeerVia     func(id, address string) string
}

// Process is one running program.
type Process struct {
	ID      string
	Address string
	// Operator and Peer are the operator address and the peer address. Only
	// hosts have them.
	Operator string
	Peer     string

	name string
	args []string
	logs io.Writer
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Fleet is a set of running processes.
type Fleet struct {
	Plan     Plan
	Platform *Process
	Engines  []*Process
	Services []*Process
	Hosts    []*Process
}

// Start starts a fleet. If the plan has tables, it waits until all hosts are ready
// and list all endpoints of their region. On an error the fleet is stopped.
func Start(ctx context.Context, pla Plan) (*Fleet, error) {
	fle := &Fleet{Plan: pla}
	if err := fle.start(ctx); err != nil {
		fle.Stop()
		return nil, err
	}
	return fle, nil
}

func (fle *Fleet) start(ctx context.Context) error {
	address := FreeAddress()
	fle.Platform = fle.newProcess("platform", "hemlockstandin", address, append([]string{"platform", "--listen", address}, fle.Plan.PlatformArgs...))
	if err := fle.Platform.Start(); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+address+"/control/counts"); err != nil {
		return err
	}
	for range fle.Plan.Engines {
		if err := fle.AddEngine(ctx); err != nil {
			return err
		}
	}
	for range fle.Plan.Services {
		if err := fle.AddService(ctx); err != nil {
			return err
		}
	}
	for range fle.Plan.Hosts {
		if err := fle.AddHost(ctx); err != nil {
			return err
		}
	}
	if fle.Plan.Tables.Pools == nil {
		return nil
	}
	return fle.applyTables(ctx)
}

// applyTables puts the plan's tables in force and waits until all hosts are ready
// and list their endpoints.
func (fle *Fleet) applyTables(ctx context.Context) error {
	if len(fle.Hosts) == 0 {
		return nil
	}
	if _, err := fle.Edit(ctx, 0, fle.Plan.Tables, 0); err != nil {
		return err
	}
	for _, host := range fle.Hosts {
		if err := waitFor(ctx, "http://"+host.Address+"/readyz"); err != nil {
			return err
		}
	}
	return fle.waitForEndpoints(ctx)
}

// waitForEndpoints waits until every host lists all hosts and the endpoints of its
// own region.
func (fle *Fleet) waitForEndpoints(ctx context.Context) error {
	for i, host := range fle.Hosts {
		want := len(fle.Hosts) + fle.countInRegionOf(i, len(fle.Engines)) + fle.countInRegionOf(i, len(fle.Services))
		err := Poll(ctx, startTimeout, func() bool {
			sta, err := fle.Status(ctx, host)
			return err == nil && len(sta.Endpoints) >= want
		})
		if err != nil {
			return eris.Wrapf(err, "Fleet.waitListed: host %s", host.ID)
		}
	}
	return nil
}

// countInRegionOf returns how many of the processes with the indexes 0 to total-1
// are in the region of a host.
func (fle *Fleet) countInRegionOf(host, total int) int {
	n := 0
	for i := range total {
		if fle.regionOf(i) == fle.regionOf(host) {
			n++
		}
	}
	return n
}

func (fle *Fleet) regionOf(i int) string {
	if len(fle.Plan.Regions) == 0 {
		return ""
	}
	return fle.Plan.Regions[i%len(fle.Plan.Regions)]
}

func (fle *Fleet) newProcess(id, name, address string, args []string) *Process {
	pro := NewProcess(id, filepath.Join(fle.Plan.Bin, name), args, fle.Plan.Logs)
	pro.Address = address
	return pro
}

func (fle *Fleet) dataCenterOf(i int) string {
	if len(fle.Plan.DataCenters) == 0 {
		return "colombo"
	}
	return fle.Plan.DataCenters[i%len(fle.Plan.DataCenters)]
}

func (fle *Fleet) endpointAddress(pro *Process) string {
	if fle.Plan.EndpointVia == nil {
		return pro.Address
	}
	return fle.Plan.EndpointVia(pro.ID, pro.Address)
}

// AddEngine starts another engine and adds it to the platform's list.
func (fle *Fleet) AddEngine(ctx context.Context) error {
	i := len(fle.Engines)
	address := FreeAddress()
	id := fmt.Sprintf("engine-%d", i)
	pro := fle.newProcess(id, "hemlockstandin", address, append([]string{"engine", "--id", id, "--listen", address, "--model", fle.Plan.Model}, fle.Plan.EngineArgs...))
	fle.Engines = append(fle.Engines, pro)
	if err := pro.Start(); err != nil {
		return err
	}
	return fle.List(ctx, persister.Entry{ID: id, Kind: persister.KindEngine, Service: fle.Plan.Model, Address: fle.endpointAddress(pro), DataCenter: fle.dataCenterOf(i), Region: fle.regionOf(i), Models: []string{fle.Plan.Model}})
}

// AddService starts another plain service and adds it to the platform's list.
func (fle *Fleet) AddService(ctx context.Context) error {
	i := len(fle.Services)
	address := FreeAddress()
	id := fmt.Sprintf("service-%d", i)
	pro := fle.newProcess(id, "hemlockstandin", address, append([]string{"service", "--listen", address}, fle.Plan.ServiceArgs...))
	fle.Services = append(fle.Services, pro)
	if err := pro.Start(); err != nil {
		return err
	}
	return fle.List(ctx, persister.Entry{ID: id, Kind: persister.KindService, Service: "counter", Address: fle.endpointAddress(pro), DataCenter: fle.dataCenterOf(i), Region: fle.regionOf(i)})
}

// AddHost starts another host, waits until it is healthy and adds it to the
// platform's list.
func (fle *Fleet) AddHost(ctx context.Context) error {
	i := len(fle.Hosts)
	id := fmt.Sprintf("host-%d", i)
	address, peer, operator := FreeAddress(), FreeAddress(), FreeAddress()
	platform := fle.Platform.Address
	if fle.Plan.PlatformVia != nil {
		platform = fle.Plan.PlatformVia(platform)
	}
	args := []string{
		"--host-id", id, "--data-center", fle.dataCenterOf(i), "--listen", address, "--peer-listen", peer,
		"--operator-listen", operator, "--platform", "http://" + platform,
	}
	if len(fle.Plan.Regions) > 0 {
		args = append(args, "--region", fle.regionOf(i))
	}
	if fle.Plan.HostArgsFor != nil {
		args = append(args, fle.Plan.HostArgsFor(i)...)
	}
	pro := fle.newProcess(id, "hemlockpind", address, append(args, fle.Plan.HostArgs...))
	pro.Peer = peer
	pro.Operator = operator
	fle.Hosts = append(fle.Hosts, pro)
	if err := pro.Start(); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+address+"/healthz"); err != nil {
		return err
	}
	listed := peer
	if fle.Plan.PeerVia != nil {
		listed = fle.Plan.PeerVia(id, peer)
	}
	return fle.List(ctx, persister.Entry{ID: id, Kind: persister.KindHost, Address: listed, DataCenter: fle.dataCenterOf(i), Region: fle.regionOf(i)})
}

// List adds an entry to the platform's list, or replaces the one with its ID.
func (fle *Fleet) List(ctx context.Context, ent persister.Entry) error {
	return PutJSON(ctx, "http://"+fle.Platform.Address+"/control/entries", ent)
}

// Unlist removes an entry from the platform's list.
func (fle *Fleet) Unlist(ctx context.Context, id string) error {
	return send(ctx, http.MethodDelete, "http://"+fle.Platform.Address+"/control/entries/"+id, nil, nil, nil)
}

// Fault sets the faults that a stand-in injects.
func (fle *Fleet) Fault(ctx context.Context, pro *Process, faults any) error {
	return PutJSON(ctx, "http://"+pro.Address+"/control/faults", faults)
}

// Status reads the status of a host.
func (fle *Fleet) Status(ctx context.Context, host *Process) (server.Status, error) {
	var sta server.Status
	err := GetJSON(ctx, "http://"+host.Operator+"/v1/status", &sta)
	return sta, err
}

// Edit replaces the tables of revision base through a host and returns the
// accepted ones.
func (fle *Fleet) Edit(ctx context.Context, host int, tab parser.Tables, base uint64) (parser.Tables, error) {
	var out parser.Tables
	hea := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	err := send(ctx, http.MethodPut, "http://"+fle.Hosts[host].Operator+"/v1/tables", hea, tab, &out)
	return out, err
}

// Stop kills all processes and waits until they have exited.
func (fle *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, pros := range [][]*Process{fle.Hosts, fle.Engines, fle.Services, {fle.Platform}} {
		for _, pro := range pros {
			if pro != nil {
				wg.Go(pro.Kill)
			}
		}
	}
	wg.Wait()
}

// Start starts the process. It may be called again after the process has exited.
func (pro *Process) Start() error {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	cmd := exec.Command(pro.name, pro.args...)
	cmd.Stdout = pro.logs
	cmd.Stderr = pro.logs
	// The kernel kills the process when the program that started it exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "Process.Start: %s", pro.ID)
	}
	done := make(chan struct{})
	pro.cmd = cmd
	pro.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (pro *Process) Signal(sig os.Signal) error {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	return pro.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL and waits until the process has exited.
func (pro *Process) Kill() {
	_ = pro.Signal(syscall.SIGKILL)
	<-pro.done
}

// Freeze suspends the process with SIGSTOP; Resume continues it.
func (pro *Process) Freeze() error { return pro.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (pro *Process) Resume() error { return pro.Signal(syscall.SIGCONT) }

// Wait waits until the process has exited and returns its exit code. It fails if
// the process still runs after the timeout.
func (pro *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-pro.done:
		return pro.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, eris.Errorf("Process.Wait: %s still runs after %s", pro.ID, timeout)
	}
}

// PID returns the ID that the system gave to the process.
func (pro *Process) PID() int { return pro.cmd.Process.Pid }

// Poll calls fun until it returns true. It fails if that takes longer than the
// timeout.
func Poll(ctx context.Context, timeout time.Duration, fun func() bool) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	for !fun() {
		select {
		case <-ctx.Done():
			return eris.Errorf("Poll: not true within %s", timeout)
		case <-time.After(pollPause):
		}
	}
	return nil
}

func waitFor(ctx context.Context, url string) error {
	err := Poll(ctx, startTimeout, func() bool { return send(ctx, http.MethodGet, url, nil, nil, nil) == nil })
	return eris.Wrapf(err, "waitFor: %s", url)
}

// PutJSON sends a value as JSON with PUT. It fails unless the status is 2xx.
func PutJSON(ctx context.Context, url string, in any) error {
	return send(ctx, http.MethodPut, url, nil, in, nil)
}

// GetOK sends a GET and fails unless the status is 2xx.
func GetOK(ctx context.Context, url string) error {
	return send(ctx, http.MethodGet, url, nil, nil, nil)
}

// GetJSON reads a JSON value with GET. It fails unless the status is 2xx.
func GetJSON(ctx context.Context, url string, out any) error {
	return send(ctx, http.MethodGet, url, nil, nil, out)
}

func send(ctx context.Context, method, url string, hea http.Header, in, out any) error {
	var body io.Reader
	if in != nil {
		buf, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(buf)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	for name, val := range hea {
		req.Header[name] = val
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		text, _ := io.ReadAll(res.Body)
		return eris.Errorf("%s %s: status %d: %s", method, url, res.StatusCode, text)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(out)
}

// Tables reads the tables in force on a host.
func (fle *Fleet) Tables(ctx context.Context, host int) (parser.Tables, error) {
	var tab parser.Tables
	err := GetJSON(ctx, "http://"+fle.Hosts[host].Operator+"/v1/tables", &tab)
	return tab, err
}

// NewProcess returns a process that is not started yet. Its output is written to
// logs; nil discards it.
func NewProcess(id, program string, args []string, logs io.Writer) *Process {
	return &Process{ID: id, name: program, args: args, logs: logs}
}
