package lab

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"hemlockpin/internal/testkit"
)

// Program is the program of the deploy file, from the root of the repository.
const Program = "target/hemlockpind"

// templatePath is the template of its settings.
const templatePath = "deploy/settings.tmpl"

// Zones are the zones of hosts and engines, in turn.
var Zones = []string{"mu-north", "mu-centre", "mu-south"}

const (
	// maxSeeds is the number of hosts that the settings name at most.
	maxSeeds     = 3
	readyTimeout = 30 * time.Second
	readyPause   = 50 * time.Millisecond
)

// Fields are the fields of the platform's settings file that the template uses.
type Fields struct {
	Node      string
	Zone      string
	Region    string
	IP        string
	Front     string
	Ready     string
	Control   string
	Store     string
	Seeds     []string
	Bootstrap bool
}

// Bounds of the platform's settings and limits of a machine, as on the sheets of the small
// deployments.
var deployment = map[string]string{
	"bounds.configApplyMs": "2000", "bounds.drainMs": "2000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "219", "bounds.budgetWindowS": "10",
	"bounds.coldOverage": "", "bounds.coldSlack": "", "bounds.evacuateMs": "", "limits.cpuShare": "0.272", "limits.memoryMb": "206", "limits.maxFds": "2870",
}

var (
	bootstrapSection = regexp.MustCompile(`(?s)\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
	seedsSection     = regexp.MustCompile(`(?s)\{\{#seeds\}\}(.*?)\{\{/seeds\}\}`)
	placeholder      = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)
)

// Render fills in the template of the settings.
func (fie Fields) Render(template string) (string, error) {
	text := bootstrapSection.ReplaceAllStringFunc(template, func(section string) string {
		if !fie.Bootstrap {
			return ""
		}
		return bootstrapSection.FindStringSubmatch(section)[1]
	})
	text = seedsSection.ReplaceAllStringFunc(text, func(section string) string {
		var out strings.Builder
		for _, seed := range fie.Seeds {
			out.WriteString(strings.ReplaceAll(seedsSection.FindStringSubmatch(section)[1], "{{.}}", seed))
		}
		return out.String()
	})
	values := map[string]string{
		"nodeName": fie.Node, "zone": fie.Zone, "region": fie.Region, "ip": fie.IP, "listen.front": fie.Front, "listen.ready": fie.Ready,
		"listen.control": fie.Control, "platform.address": fie.Store,
	}
	var unknown []string
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		name := placeholder.FindStringSubmatch(match)[1]
		if value, ok := values[name]; ok {
			return value
		}
		value, ok := deployment[name]
		if !ok {
			unknown = append(unknown, name)
		}
		return value
	})
	if len(unknown) > 0 {
		return "", fmt.Errorf("the template has unknown fields: %v", unknown)
	}
	return text, nil
}

// Host is a host, which runs as a process with loopback addresses of its own.
type Host struct {
	Fields Fields
	Record *Record
	dir    string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

// NewHosts returns hosts with settings, that are not started yet. Their logs go to a temporary
// folder, which the caller removes.
func NewHosts(rec *Record, dir, storeAddress string, count int) ([]*Host, error) {
	ports := map[string]string{}
	for _, name := range []string{"front", "ready", "control"} {
		_, port, err := net.SplitHostPort(testkit.FreeAddress())
		if err != nil {
			return nil, err
		}
		ports[name] = port
	}
	var hosts []*Host
	var seeds []string
	for i := range count {
		ip := loopback(i + 1)
		fie := Fields{
			Node: fmt.Sprintf("front-%d", i+1), Zone: Zones[i%len(Zones)], Region: "mu-island", IP: ip, Front: ip + ":" + ports["front"],
			Ready: ip + ":" + ports["ready"], Control: ip + ":" + ports["control"], Store: storeAddress, Bootstrap: true,
		}
		if len(seeds) < maxSeeds {
			seeds = append(seeds, fie.Control)
		}
		hosts = append(hosts, &Host{Fields: fie, Record: rec, dir: dir})
	}
	for _, hos := range hosts {
		hos.Fields.Seeds = seeds
	}
	return hosts, nil
}

// Start starts the host with the command of the deploy file.
func (hos *Host) Start() error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	text, err := hos.Fields.Render(string(template))
	if err != nil {
		return err
	}
	settings := filepath.Join(hos.dir, hos.Fields.Node+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	if hos.log, err = os.OpenFile(filepath.Join(hos.dir, hos.Fields.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	hos.cmd = exec.Command(Program)
	hos.cmd.Env = []string{"HEMLOCKPIN_CONFIG=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	hos.cmd.Stdout, hos.cmd.Stderr = hos.log, hos.log
	hos.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := hos.cmd.Start(); err != nil {
		return err
	}
	hos.Record.Printf("host %s started at %s", hos.Fields.Node, hos.Fields.Front)
	exited := make(chan struct{})
	hos.exited = exited
	cmd := hos.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	hos.Fields.Bootstrap = false
	return nil
}

// Signal sends a signal to the process.
func (hos *Host) Signal(sig syscall.Signal) {
	hos.Record.Printf("host %s gets %s", hos.Fields.Node, sig)
	_ = hos.cmd.Process.Signal(sig)
}

// PID returns the process's ID.
func (hos *Host) PID() int { return hos.cmd.Process.Pid }

// Exited is closed once the process has ended.
func (hos *Host) Exited() <-chan struct{} { return hos.exited }

// Kill ends the process and waits for its end.
func (hos *Host) Kill() {
	if hos.cmd == nil {
		return
	}
	_ = hos.cmd.Process.Kill()
	<-hos.exited
	_ = hos.log.Close()
}

// AwaitReady waits until all hosts are ready.
func AwaitReady(hosts []*Host) error {
	end := time.Now().Add(readyTimeout)
	for _, hos := range hosts {
		for !isReady(hos.Fields.Ready) {
			if time.Now().After(end) {
				log, _ := os.ReadFile(filepath.Join(hos.dir, hos.Fields.Node+".log"))
				return fmt.Errorf("host %s is not ready; end of its log: %s", hos.Fields.Node, log[max(0, bytes.LastIndexByte(log[:max(0, len(log)-1)], '\n')):])
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func isReady(address string) bool {
	cli := http.Client{Timeout: time.Second}
	res, err := cli.Get("http://" + address + "/v1/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
