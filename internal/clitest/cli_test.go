// Package clitest runs the scripts in testdata, which call the operators' command
// line on a fleet of real hosts.
package clitest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"hemlockpin/internal/testkit"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// propagation is the time within which an accepted edit must be in force on all
// hosts.
const propagation = 7 * time.Second

func TestScripts(t *testing.T) {
	bin, err := testkit.Build()
	require.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			var logs lockedBuffer
			fle, err := testkit.Start(context.Background(), testkit.Plan{Bin: bin, Logs: &logs, Hosts: 2, Engines: 1, Services: 1, Model: testkit.Model, Tables: testkit.SampleTables()})
			if err != nil {
				return fmt.Errorf("%w\n%s", err, logs.String())
			}
			env.Defer(fle.Stop)
			env.Values["fleet"] = fle
			env.Setenv("PATH", bin+":"+os.Getenv("PATH"))
			env.Setenv("HOST0", "http://"+fle.Hosts[0].Operator)
			env.Setenv("HOST1", "http://"+fle.Hosts[1].Operator)
			env.Setenv("NOBODY", "http://"+testkit.FreeAddress())
			env.Setenv("LISTEN", testkit.FreeAddress())
			env.Setenv("TAKEN", fle.Hosts[0].Operator)
			env.Setenv("HEMLOCKPIN_OPERATOR", "http://"+fle.Hosts[0].Operator)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits, "fault": fault, "revision": revision, "ended": ended, "book": book,
		},
	})
}

// lockedBuffer is a buffer to which several processes may write concurrently.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the buffer.
func (buf *lockedBuffer) Write(out []byte) (int, error) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.buf.Write(out)
}

// String returns the content of the buffer.
func (buf *lockedBuffer) String() string {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.buf.String()
}

// exits runs a program, requires the given exit code and writes its output to the
// files out and err.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	cmd := exec.Command(filepath.Join(fleet(ts).Plan.Bin, args[1]), args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = append(os.Environ(), "HEMLOCKPIN_OPERATOR="+ts.Getenv("HEMLOCKPIN_OPERATOR"))
	out, err := os.Create(ts.MkAbs("out"))
	ts.Check(err)
	defer out.Close()
	errFile, err := os.Create(ts.MkAbs("err"))
	ts.Check(err)
	defer errFile.Close()
	cmd.Stdout, cmd.Stderr = out, errFile
	_ = cmd.Run()
	if got := cmd.ProcessState.ExitCode(); got != want {
		ts.Fatalf("exit code %d, want %d: %s", got, want, ts.ReadFile("err"))
	}
}

func fleet(ts *testscript.TestScript) *testkit.Fleet {
	return ts.Value("fleet").(*testkit.Fleet)
}

// fault sets the faults of the platform, given as JSON.
func fault(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleet(ts).Fault(context.Background(), fleet(ts).Platform, json.RawMessage(args[0])))
}

// revision waits until a host has the given revision in force.
func revision(ts *testscript.TestScript, _ bool, args []string) {
	index, err := strconv.Atoi(args[0])
	ts.Check(err)
	ts.Check(testkit.Poll(context.Background(), propagation, func() bool {
		sta, err := fleet(ts).Status(context.Background(), fleet(ts).Hosts[index])
		return err == nil && fmt.Sprint(sta.TablesRevision) == args[1]
	}))
}

// ended waits until a host has exited and requires the exit code 0.
func ended(ts *testscript.TestScript, _ bool, args []string) {
	index, err := strconv.Atoi(args[0])
	ts.Check(err)
	code, err := fleet(ts).Hosts[index].Wait(propagation)
	ts.Check(err)
	if code != 0 {
		ts.Fatalf("exit code %d", code)
	}
}

// book sends a GET for the given path to a host with the given bearer key.
func book(ts *testscript.TestScript, _ bool, args []string) {
	index, err := strconv.Atoi(args[0])
	ts.Check(err)
	req, err := http.NewRequest(http.MethodGet, "http://"+fleet(ts).Hosts[index].Address+args[2], nil)
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[1])
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	res.Body.Close()
}
