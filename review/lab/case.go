package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"hemlockpin/internal/testkit"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Each process has a network of loopback addresses of its own, 127.N.M.0, since the hosts' port for
// operators is fixed. N is from firstNetwork on, one of networks numbers.
const (
	firstNetwork = 64
	networks     = 128
)

// Trouble reports whether the disruption takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Case is a deployment with its stand-ins.
type Case struct {
	Record *Record
	Store  *Store
	Hosts  []*Host
	dir    string
}

// NewCase starts a store, and returns hosts that are not started yet. dir is the folder of the case.
func NewCase(dir string, hosts int) (*Case, error) {
	rec, err := NewRecord(dir)
	if err != nil {
		return nil, err
	}
	cas := &Case{Record: rec}
	if cas.dir, err = os.MkdirTemp("", "hemlockpin-review-"); err != nil {
		return nil, err
	}
	if cas.Store, err = NewStore(rec, FreeAddress(250)); err != nil {
		return nil, err
	}
	cas.Hosts, err = NewHosts(rec, cas.dir, cas.Store.Address, hosts)
	return cas, err
}

// FreeAddress returns a loopback address whose last number is given, with a free port.
func FreeAddress(last int) string {
	_, port, err := net.SplitHostPort(testkit.FreeAddress())
	if err != nil {
		panic(err)
	}
	return loopback(last) + ":" + port
}

// loopback returns the loopback address with a last number of this process's own network.
func loopback(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+pid>>8%networks, pid&0xff, last)
}

// Start starts all hosts and waits until they are ready.
func (cas *Case) Start() error {
	for _, hos := range cas.Hosts {
		if err := hos.Start(); err != nil {
			return err
		}
	}
	return AwaitReady(cas.Hosts)
}

// Close ends all hosts. It keeps their logs in the folder that KEEP_LOGS names.
func (cas *Case) Close() {
	for _, hos := range cas.Hosts {
		hos.Kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(cas.dir, "*.log"))
		for _, log := range logs {
			buf, _ := os.ReadFile(log)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(log)), buf, 0o600)
		}
	}
	_ = os.RemoveAll(cas.dir)
}

// Run runs a case in the folder that the first argument names, and exits with its code.
func Run(hosts int, run func(cas *Case) (broken []string, err error)) {
	code, err := runCase(hosts, run)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func runCase(hosts int, run func(cas *Case) (broken []string, err error)) (int, error) {
	if len(os.Args) < 2 {
		return ExitNotRun, errors.New("the folder of the case is missing")
	}
	cas, err := NewCase(os.Args[1], hosts)
	if cas != nil {
		defer cas.Close()
	}
	if err != nil {
		return ExitNotRun, err
	}
	broken, err := run(cas)
	switch {
	case err != nil:
		cas.Record.Printf("the case could not run: %v", err)
		return ExitNotRun, err
	case len(broken) > 0:
		for _, text := range broken {
			cas.Record.Printf("BROKEN %s", text)
			fmt.Println("broken:", text)
		}
		return ExitBroken, nil
	default:
		cas.Record.Printf("the rule held")
		fmt.Println("the rule held")
		return ExitHeld, nil
	}
}
