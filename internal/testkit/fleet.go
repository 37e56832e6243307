// Package testkit starts fleets of real processes on loopback for tests and
// trials, and talks to them.
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

// Plan says what a fleet consists of.
type Plan struct {
	// Bin is the folder of the built programs.
	Bin string
	// Logs receives the output of all processes; nil discards it.
	Logs        io.Writer
	Hosts       int
	Engines     int
	Services    int
	DataCenters []string
	// Regions are given to hosts, engines and services in turn; none for a
	// fleet without regions.
	Regions      []string
	Model        string
	PlatformArgs []string
	EngineArgs   []string
	ServiceArgs  []string
	HostArgs     []string
	// HostArgsFor returns further arguments of the host with an index; nil for none.
	HostArgsFor func(ind int) []string
	// Tables is put in force before Start returns, unless it is empty.
	Tables parser.Tables
	// PlatformVia returns the address that hosts use for the platform; nil
	// leaves it as it is. The other Via functions do the same for endpoints
	// and for the peer addresses that the platform lists.
	PlatformVia func(address string) string
	EndpointVia func(id, address string) string
	PeerVia     func(id, address string) string
}

// Process is one running program.
type Process struct {
	ID      string
	Address string
	// Operator and Peer are set for entry hosts.
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

// Start starts a fleet and waits until its hosts are ready.
func Start(ctx context.Context, pla Plan) (*Fleet, error) {
	fle := &Fleet{Plan: pla}
	if err := fle.start(ctx); err != nil {
		fle.Stop()
		return nil, err
	}
	return fle, nil
}

func (fle *Fleet) start(ctx context.Context) error {
	add := FreeAddress()
	fle.Platform = fle.process("platform", "hemlockstandin", add, append([]string{"platform", "--listen", add}, fle.Plan.PlatformArgs...))
	if err := fle.Platform.Start(); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+add+"/control/counts"); err != nil {
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
	return fle.settle(ctx)
}

// settle puts the tables in force and waits until all hosts are ready.
func (fle *Fleet) settle(ctx context.Context) error {
	if len(fle.Hosts) == 0 {
		return nil
	}
	if _, err := fle.Edit(ctx, 0, fle.Plan.Tables, 0); err != nil {
		return err
	}
	for _, hos := range fle.Hosts {
		if err := waitFor(ctx, "http://"+hos.Address+"/readyz"); err != nil {
			return err
		}
	}
	return fle.waitListed(ctx)
}

// waitListed waits until every host lists every endpoint.
func (fle *Fleet) waitListed(ctx context.Context) error {
	for ind, hos := range fle.Hosts {
		want := len(fle.Hosts) + fle.near(ind, len(fle.Engines)) + fle.near(ind, len(fle.Services))
		err := Poll(ctx, startTimeout, func() bool {
			sta, err := fle.Status(ctx, hos)
			return err == nil && len(sta.Endpoints) >= want
		})
		if err != nil {
			return eris.Wrapf(err, "Fleet.waitListed: host %s", hos.ID)
		}
	}
	return nil
}

// near counts those of a number of processes that are in the region of a host.
func (fle *Fleet) near(host, num int) int {
	cou := 0
	for ind := range num {
		if fle.region(ind) == fle.region(host) {
			cou++
		}
	}
	return cou
}

func (fle *Fleet) region(ind int) string {
	if len(fle.Plan.Regions) == 0 {
		return ""
	}
	return fle.Plan.Regions[ind%len(fle.Plan.Regions)]
}

func (fle *Fleet) process(id, name, add string, args []string) *Process {
	pro := NewProcess(id, filepath.Join(fle.Plan.Bin, name), args, fle.Plan.Logs)
	pro.Address = add
	return pro
}

func (fle *Fleet) dataCenter(ind int) string {
	if len(fle.Plan.DataCenters) == 0 {
		return "colombo"
	}
	return fle.Plan.DataCenters[ind%len(fle.Plan.DataCenters)]
}

func (fle *Fleet) endpointAddress(pro *Process) string {
	if fle.Plan.EndpointVia == nil {
		return pro.Address
	}
	return fle.Plan.EndpointVia(pro.ID, pro.Address)
}

// AddEngine starts one more engine and lists it.
func (fle *Fleet) AddEngine(ctx context.Context) error {
	ind := len(fle.Engines)
	add := FreeAddress()
	id := fmt.Sprintf("engine-%d", ind)
	pro := fle.process(id, "hemlockstandin", add, append([]string{"engine", "--id", id, "--listen", add, "--model", fle.Plan.Model}, fle.Plan.EngineArgs...))
	fle.Engines = append(fle.Engines, pro)
	if err := pro.Start(); err != nil {
		return err
	}
	return fle.List(ctx, persister.Entry{ID: id, Kind: persister.KindEngine, Service: fle.Plan.Model, Address: fle.endpointAddress(pro), DataCenter: fle.dataCenter(ind), Region: fle.region(ind), Models: []string{fle.Plan.Model}})
}

// AddService starts one more plain service and lists it.
func (fle *Fleet) AddService(ctx context.Context) error {
	ind := len(fle.Services)
	add := FreeAddress()
	id := fmt.Sprintf("service-%d", ind)
	pro := fle.process(id, "hemlockstandin", add, append([]string{"service", "--listen", add}, fle.Plan.ServiceArgs...))
	fle.Services = append(fle.Services, pro)
	if err := pro.Start(); err != nil {
		return err
	}
	return fle.List(ctx, persister.Entry{ID: id, Kind: persister.KindService, Service: "counter", Address: fle.endpointAddress(pro), DataCenter: fle.dataCenter(ind), Region: fle.region(ind)})
}

// AddHost starts one more entry host and lists it.
func (fle *Fleet) AddHost(ctx context.Context) error {
	ind := len(fle.Hosts)
	id := fmt.Sprintf("host-%d", ind)
	add, pee, ope := FreeAddress(), FreeAddress(), FreeAddress()
	pla := fle.Platform.Address
	if fle.Plan.PlatformVia != nil {
		pla = fle.Plan.PlatformVia(pla)
	}
	args := []string{
		"--host-id", id, "--data-center", fle.dataCenter(ind), "--listen", add, "--peer-listen", pee,
		"--operator-listen", ope, "--platform", "http://" + pla,
	}
	if len(fle.Plan.Regions) > 0 {
		args = append(args, "--region", fle.region(ind))
	}
	if fle.Plan.HostArgsFor != nil {
		args = append(args, fle.Plan.HostArgsFor(ind)...)
	}
	pro := fle.process(id, "hemlockpind", add, append(args, fle.Plan.HostArgs...))
	pro.Peer = pee
	pro.Operator = ope
	fle.Hosts = append(fle.Hosts, pro)
	if err := pro.Start(); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+add+"/healthz"); err != nil {
		return err
	}
	listed := pee
	if fle.Plan.PeerVia != nil {
		listed = fle.Plan.PeerVia(id, pee)
	}
	return fle.List(ctx, persister.Entry{ID: id, Kind: persister.KindHost, Address: listed, DataCenter: fle.dataCenter(ind), Region: fle.region(ind)})
}

// List puts an entry into the platform's list.
func (fle *Fleet) List(ctx context.Context, ent persister.Entry) error {
	return PutJSON(ctx, "http://"+fle.Platform.Address+"/control/entries", ent)
}

// Unlist removes an entry from the platform's list.
func (fle *Fleet) Unlist(ctx context.Context, id string) error {
	return send(ctx, http.MethodDelete, "http://"+fle.Platform.Address+"/control/entries/"+id, nil, nil, nil)
}

// Fault switches faults of a stand-in on or off.
func (fle *Fleet) Fault(ctx context.Context, pro *Process, faults any) error {
	return PutJSON(ctx, "http://"+pro.Address+"/control/faults", faults)
}

// Status reads what a host says of itself.
func (fle *Fleet) Status(ctx context.Context, hos *Process) (server.Status, error) {
	var sta server.Status
	err := GetJSON(ctx, "http://"+hos.Operator+"/v1/status", &sta)
	return sta, err
}

// Edit replaces the tables through a host.
func (fle *Fleet) Edit(ctx context.Context, host int, tab parser.Tables, base uint64) (parser.Tables, error) {
	var out parser.Tables
	hea := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	err := send(ctx, http.MethodPut, "http://"+fle.Hosts[host].Operator+"/v1/tables", hea, tab, &out)
	return out, err
}

// Stop ends all processes.
func (fle *Fleet) Stop() {
	var gro sync.WaitGroup
	for _, pros := range [][]*Process{fle.Hosts, fle.Engines, fle.Services, {fle.Platform}} {
		for _, pro := range pros {
			if pro != nil {
				gro.Go(pro.Kill)
			}
		}
	}
	gro.Wait()
}

// Start starts the process, also again after it has ended.
func (pro *Process) Start() error {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	cmd := exec.Command(pro.name, pro.args...)
	cmd.Stdout = pro.logs
	cmd.Stderr = pro.logs
	// A process does not outlive the program that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "Process.Start: %s", pro.ID)
	}
	don := make(chan struct{})
	pro.cmd = cmd
	pro.done = don
	go func() {
		_ = cmd.Wait()
		close(don)
	}()
	return nil
}

// Signal sends a signal to the process.
func (pro *Process) Signal(sig os.Signal) error {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	return pro.cmd.Process.Signal(sig)
}

// Kill ends the process at once and waits for its end.
func (pro *Process) Kill() {
	_ = pro.Signal(syscall.SIGKILL)
	<-pro.done
}

// Freeze stops the process without ending it; Resume lets it go on.
func (pro *Process) Freeze() error { return pro.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (pro *Process) Resume() error { return pro.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process and returns its exit code.
func (pro *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-pro.done:
		return pro.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, eris.Errorf("Process.Wait: %s still runs after %s", pro.ID, timeout)
	}
}

// PID returns the process identifier.
func (pro *Process) PID() int { return pro.cmd.Process.Pid }

// Poll calls fun until it is true.
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

// PutJSON sends a value.
func PutJSON(ctx context.Context, url string, in any) error {
	return send(ctx, http.MethodPut, url, nil, in, nil)
}

// GetOK fails unless a GET answers with success.
func GetOK(ctx context.Context, url string) error {
	return send(ctx, http.MethodGet, url, nil, nil, nil)
}

// GetJSON reads a value.
func GetJSON(ctx context.Context, url string, out any) error {
	return send(ctx, http.MethodGet, url, nil, nil, out)
}

func send(ctx context.Context, method, url string, hea http.Header, in, out any) error {
	var bod io.Reader
	if in != nil {
		buf, err := json.Marshal(in)
		if err != nil {
			return err
		}
		bod = bytes.NewReader(buf)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bod)
	if err != nil {
		return err
	}
	for nam, val := range hea {
		req.Header[nam] = val
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		txt, _ := io.ReadAll(res.Body)
		return eris.Errorf("%s %s: status %d: %s", method, url, res.StatusCode, txt)
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

// NewProcess returns a program that is not started yet. Its output goes to logs; nil
// discards it.
func NewProcess(id, program string, args []string, logs io.Writer) *Process {
	return &Process{ID: id, name: program, args: args, logs: logs}
}
