package standins

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	// metricsPort is the port that the template names.
	metricsPort   = "9464"
	ipAttempts    = 50
	program       = "target/hemlockpind"
	templatePath  = "deploy/settings.tmpl"
	settingsPerms = 0o600
)

// Fleet holds the settings that all hosts have in common, and the stand-ins around them.
type Fleet struct {
	// Dir is a temporary folder for settings and logs.
	Dir    string
	Record *Record
	Store  *Store
	// Seeds holds the control addresses of at most three hosts.
	Seeds []string
	Hosts []*Host

	block string
	next  int
}

// NewFleet starts a store. The addresses of the fleet are taken from a block of loopback
// addresses in which the ports of the hosts are free.
func NewFleet(rec *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "hemlockpin-review-")
	if err != nil {
		return nil, err
	}
	return &Fleet{Dir: dir, Record: rec, Store: NewStore(), block: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))}, nil
}

// NewIP returns a loopback address that no other part of the fleet has.
func (fle *Fleet) NewIP() string {
	fle.next++
	return fle.block + strconv.Itoa(fle.next)
}

// Close ends all hosts and the store, and removes the temporary folder.
func (fle *Fleet) Close() {
	for _, hos := range fle.Hosts {
		hos.Kill()
	}
	fle.Store.Close()
	_ = os.RemoveAll(fle.Dir)
}

// Host is one process of the daemon, started as on the platform.
type Host struct {
	Name string
	IP   string
	// StoreAddress is the address at which this host reaches the store.
	StoreAddress string
	// FrontAddress is the address for consumers, ReadyAddress that for the balancer's
	// questions and ControlAddress that for other hosts.
	FrontAddress   string
	ReadyAddress   string
	ControlAddress string

	fleet   *Fleet
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	started bool
}

// AddHosts adds hosts and starts them, then waits until all are ready.
func (fle *Fleet) AddHosts(ctx context.Context, names ...string) error {
	for _, name := range names {
		address, err := fle.Store.Listen(fle.NewIP())
		if err != nil {
			return err
		}
		hos := &Host{Name: name, StoreAddress: address, fleet: fle}
		if err := hos.chooseAddresses(); err != nil {
			return err
		}
		fle.Hosts = append(fle.Hosts, hos)
		if len(fle.Seeds) < 3 {
			fle.Seeds = append(fle.Seeds, hos.ControlAddress)
		}
	}
	for _, hos := range fle.Hosts {
		if err := hos.Start(); err != nil {
			return err
		}
	}
	for _, hos := range fle.Hosts {
		if err := hos.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// chooseAddresses takes a loopback address at which the port for metrics is free, and free
// ports there.
func (hos *Host) chooseAddresses() error {
	for range ipAttempts {
		hos.IP = hos.fleet.NewIP()
		var listeners []net.Listener
		for _, port := range []string{metricsPort, "0", "0", "0"} {
			if lis, err := net.Listen("tcp", net.JoinHostPort(hos.IP, port)); err == nil {
				listeners = append(listeners, lis)
			}
		}
		for _, lis := range listeners {
			lis.Close()
		}
		if len(listeners) == 4 {
			hos.FrontAddress, hos.ReadyAddress, hos.ControlAddress = listeners[1].Addr().String(), listeners[2].Addr().String(), listeners[3].Addr().String()
			return nil
		}
	}
	return fmt.Errorf("no loopback address with a free port %s", metricsPort)
}

// Start starts the process with the settings file of the platform.
func (hos *Host) Start() error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	path := filepath.Join(hos.fleet.Dir, hos.Name+".conf")
	if err := os.WriteFile(path, []byte(hos.settings(string(template))), settingsPerms); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(hos.fleet.Dir, hos.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsPerms)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "HEMLOCKPIN_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	hos.mu.Lock()
	hos.cmd, hos.done, hos.started = cmd, done, true
	hos.mu.Unlock()
	hos.fleet.Record.Printf("%s started, process %d, front %s", hos.Name, cmd.Process.Pid, hos.FrontAddress)
	go func() {
		_ = cmd.Wait()
		hos.fleet.Record.Printf("%s ended: %s", hos.Name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)

// settings fills in the template as the platform does.
func (hos *Host) settings(template string) string {
	bootstrap := !hos.started
	template = section(template, "bootstrap", bootstrap, []string{""})
	template = section(template, "seeds", true, hos.fleet.Seeds)
	values := map[string]string{
		"listen.ready": hos.ReadyAddress, "listen.front": hos.FrontAddress, "listen.control": hos.ControlAddress,
		"bounds.configApplyMs": "2000", "bounds.drainMs": "2000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "236", "bounds.budgetWindowS": "10",
		"nodeName": hos.Name, "limits.cpuShare": "0.272", "limits.memoryMb": strconv.Itoa(MemoryMB), "limits.maxFds": "2870",
		"zone": "colombo", "region": "western", "ip": hos.IP, "platform.address": hos.StoreAddress,
	}
	return placeholder.ReplaceAllStringFunc(template, func(text string) string { return values[strings.Trim(text, "{}")] })
}

// MemoryMB is the memory of a machine.
const MemoryMB = 206

// section renders a section of the template once for each item, or not at all.
func section(template, name string, shown bool, items []string) string {
	before, rest, found := strings.Cut(template, "{{#"+name+"}}")
	if !found {
		return template
	}
	inner, after, _ := strings.Cut(rest, "{{/"+name+"}}")
	var out strings.Builder
	if shown {
		for _, item := range items {
			out.WriteString(strings.ReplaceAll(inner, "{{.}}", item))
		}
	}
	return before + out.String() + after
}

// AwaitReady waits until the host says that it is ready.
func (hos *Host) AwaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for ctx.Err() == nil {
		if hos.Ready(ctx) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s is not ready", hos.Name)
}

// Ready asks once whether the host is ready.
func (hos *Host) Ready(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hos.ReadyAddress+"/v1/ready", http.NoBody)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// process returns the process and a channel that is closed at its end; nil if it has none.
func (hos *Host) process() (*exec.Cmd, chan struct{}) {
	hos.mu.Lock()
	defer hos.mu.Unlock()
	return hos.cmd, hos.done
}

// PID returns the process ID; 0 if the process has ended.
func (hos *Host) PID() int {
	cmd, done := hos.process()
	if cmd == nil {
		return 0
	}
	select {
	case <-done:
		return 0
	default:
		return cmd.Process.Pid
	}
}

// Signal sends a signal to the process.
func (hos *Host) Signal(sig os.Signal) error {
	cmd, _ := hos.process()
	if cmd == nil {
		return errors.New("host is not started")
	}
	hos.fleet.Record.Printf("%s gets signal %s", hos.Name, sig)
	return cmd.Process.Signal(sig)
}

// Kill kills the process and waits for its end.
func (hos *Host) Kill() {
	cmd, done := hos.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// Done returns a channel that is closed when the present process has ended.
func (hos *Host) Done() <-chan struct{} {
	_, done := hos.process()
	return done
}
