package rig3

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Bounds are the bounds of a small deployment, as its sheet has them.
var Bounds = map[string]string{
	"drainMs": "2000", "graceS": "8", "configApplyMs": "2000", "retryBudgetRatio": "0.2", "budgetWindowS": "10", "budgetSlack": "236",
}

// Host is a daemon of the deployment.
type Host struct {
	Name string
	IP   string
	Zone string

	fleet  *Fleet
	config string
	cmd    *exec.Cmd
	done   chan struct{}
}

// Fleet is a deployment of daemons with their platform.
type Fleet struct {
	Record *Record
	Store  *Store
	Hosts  []*Host
	// Front, Ready and Control are the ports of the daemons.
	Front, Ready, Control int

	dir      string
	net      string
	storeAt  string
	storeSrv *http.Server
	template string
}

// NewFleet starts the store of a deployment. Its addresses are loopback addresses of their own.
func NewFleet(rec *Record) (*Fleet, error) {
	template, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	fle := &Fleet{Record: rec, Store: NewStore(rec), dir: dir, template: string(template), net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))}
	lis, err := net.Listen("tcp", fle.net+".250:0")
	if err != nil {
		return nil, err
	}
	fle.storeAt, fle.storeSrv = lis.Addr().String(), &http.Server{Handler: fle.Store, ReadHeaderTimeout: 30 * time.Second}
	go func() { _ = fle.storeSrv.Serve(lis) }()
	for _, port := range []*int{&fle.Front, &fle.Ready, &fle.Control} {
		if *port, err = freePort(fle.net + ".1"); err != nil {
			return nil, err
		}
	}
	return fle, nil
}

func freePort(ip string) (int, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer lis.Close()
	tcp, ok := lis.Addr().(*net.TCPAddr)
	if !ok {
		return 0, errors.New("the listener has no port")
	}
	return tcp.Port, nil
}

// ServerIP returns the loopback address of a server.
func (fle *Fleet) ServerIP(n int) string { return fmt.Sprintf("%s.%d", fle.net, 100+n) }

// Register starts a server and writes its entry.
func (fle *Fleet) Register(ser *Server, n int) error {
	ser.Record = fle.Record
	if err := ser.Start(fle.ServerIP(n)); err != nil {
		return err
	}
	fle.Store.Put("servers", ser.ID, ser.Entry("ready"))
	return nil
}

// AddHost adds a host, which is not started yet.
func (fle *Fleet) AddHost(zone string) *Host {
	n := len(fle.Hosts) + 1
	hos := &Host{Name: fmt.Sprintf("front-%s-%d", zone, n), IP: fmt.Sprintf("%s.%d", fle.net, n), Zone: zone, fleet: fle}
	hos.config = filepath.Join(fle.dir, hos.Name+".conf")
	fle.Hosts = append(fle.Hosts, hos)
	return hos
}

// StartAll starts all hosts for the first time and waits until they are ready.
func (fle *Fleet) StartAll() error {
	for _, hos := range fle.Hosts {
		if err := hos.Start(true); err != nil {
			return err
		}
	}
	for _, hos := range fle.Hosts {
		if !hos.AwaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", hos.Name)
		}
	}
	return nil
}

// Close ends all that the fleet has started.
func (fle *Fleet) Close() {
	for _, hos := range fle.Hosts {
		hos.Kill()
	}
	_ = fle.storeSrv.Close()
	_ = os.RemoveAll(fle.dir)
}

// fields are the values of the placeholders of the settings of a host.
func (fle *Fleet) fields(hos *Host) map[string]string {
	out := map[string]string{
		"nodeName": hos.Name, "ip": hos.IP, "zone": hos.Zone, "region": "western", "platform.address": fle.storeAt,
		"listen.front": hos.front(), "listen.ready": fmt.Sprintf("%s:%d", hos.IP, fle.Ready), "listen.control": fmt.Sprintf("%s:%d", hos.IP, fle.Control),
		"limits.cpuShare": "0.272", "limits.memoryMb": "206", "limits.maxFds": "2870",
	}
	for name, value := range Bounds {
		out["bounds."+name] = value
	}
	return out
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// settings fills in the deployment's template. bootstrap is set at the first start only.
func (fle *Fleet) settings(hos *Host, bootstrap bool) string {
	var seeds []string
	for _, other := range fle.Hosts[:min(3, len(fle.Hosts))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.IP, fle.Control))
	}
	text := section.ReplaceAllStringFunc(fle.template, func(match string) string {
		part := section.FindStringSubmatch(match)
		switch {
		case part[1] == "seeds":
			var out strings.Builder
			for _, seed := range seeds {
				out.WriteString(strings.ReplaceAll(part[2], "{{.}}", seed))
			}
			return out.String()
		case part[1] == "bootstrap" && bootstrap:
			return part[2]
		default:
			return ""
		}
	})
	values := fle.fields(hos)
	return placeholder.ReplaceAllStringFunc(text, func(match string) string { return values[placeholder.FindStringSubmatch(match)[1]] })
}

func (hos *Host) front() string { return fmt.Sprintf("%s:%d", hos.IP, hos.fleet.Front) }

// URL returns the URL of a path for callers.
func (hos *Host) URL(path string) string { return "http://" + hos.front() + path }

// Start starts the daemon with the command of the deploy file.
func (hos *Host) Start(bootstrap bool) error {
	if err := os.WriteFile(hos.config, []byte(hos.fleet.settings(hos, bootstrap)), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(hos.fleet.dir, hos.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	hos.cmd = exec.Command("target/hemlockpind")
	hos.cmd.Env = []string{"HEMLOCKPIN_CONFIG=" + hos.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	hos.cmd.Stdout, hos.cmd.Stderr = logs, logs
	hos.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := hos.cmd.Start(); err != nil {
		return err
	}
	hos.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		hos.fleet.Record.Line(hos.Name, fmt.Sprintf("has ended: %v", err))
		close(done)
	}(hos.cmd, hos.done)
	hos.fleet.Record.Line(hos.Name, "started")
	return nil
}

// Signal sends a signal to the daemon.
func (hos *Host) Signal(sig syscall.Signal) {
	hos.fleet.Record.Line(hos.Name, "gets "+sig.String())
	_ = hos.cmd.Process.Signal(sig)
}

// Running reports whether the daemon's process has not ended.
func (hos *Host) Running() bool {
	if hos.done == nil {
		return false
	}
	select {
	case <-hos.done:
		return false
	default:
		return true
	}
}

// Kill ends the daemon at once and waits for its end.
func (hos *Host) Kill() {
	if !hos.Running() {
		return
	}
	_ = hos.cmd.Process.Kill()
	<-hos.done
}

// Logs returns what the daemon has logged.
func (hos *Host) Logs() string {
	buf, _ := os.ReadFile(filepath.Join(hos.fleet.dir, hos.Name+".log"))
	return string(buf)
}

// IsReady asks the daemon whether it takes calls.
func (hos *Host) IsReady() bool {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", hos.IP, hos.fleet.Ready), nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until the daemon takes calls.
func (hos *Host) AwaitReady(limit time.Duration) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		if hos.IsReady() {
			return true
		}
	}
	return false
}

// PID returns the ID of the daemon's process.
func (hos *Host) PID() int { return hos.cmd.Process.Pid }
