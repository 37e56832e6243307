// Command 11 shows what hosts do with a configuration that the operator writes when the store has
// just come back from a copy.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlockpin/review/rig3"
)

const (
	host = "a.example"
	// configApply and stableWindow are the bounds of the sheet.
	configApply  = 2000 * time.Millisecond
	stableWindow = 3 * time.Second
	// copyAge is the age of the copy from which the store comes back, and away the time for which
	// it is away before.
	copyAge = 4 * time.Second
	away    = time.Second
	// rewriteAfter is the time after the store's return at which its writers write again.
	rewriteAfter = 200 * time.Millisecond
	// judged is the time for which requests are judged.
	judged = 10 * time.Second
)

func main() { rig3.Main("11", run) }

func run(cas *rig3.Case) ([]string, error) {
	sers := map[string]*rig3.Server{}
	for i, service := range []string{"counter", "counter-new"} {
		sers[service] = &rig3.Server{ID: fmt.Sprintf("i-%d", i), Service: service, Zone: "colombo", Slots: 6, Work: 20 * time.Millisecond}
		if err := cas.Register(sers[service], i); err != nil {
			return nil, err
		}
	}
	writeConfig(cas, 7, "counter", 4000)
	for range 3 {
		cas.AddHost("colombo")
	}
	if err := cas.StartAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() { sendCalls(cas, stop) })
	time.Sleep(2 * stableWindow)

	cop := cas.Store.Copy()
	time.Sleep(copyAge / 2)
	// The operator changes the route's timeout, twice.
	writeConfig(cas, 8, "counter", 3950)
	writeConfig(cas, 9, "counter", 3900)
	time.Sleep(copyAge / 2)
	cas.Record.Line("store", fmt.Sprintf("goes away at revision %d", cas.Store.Revision()))
	cas.Store.SetAway(true)
	time.Sleep(away)
	if cas.Trouble {
		cas.Store.Restore(cop)
	} else {
		cas.Store.SetAway(false)
	}
	time.Sleep(rewriteAfter)
	// The operator writes again what it wrote, and then a configuration that moves the route to
	// the other service.
	writeConfig(cas, 9, "counter", 3900)
	revision := writeConfig(cas, 12, "counter-new", 3900)
	acked := time.Now()
	cas.Record.Line("store", fmt.Sprintf("is back, and has acknowledged configuration 12 at revision %d", revision))
	time.Sleep(2*stableWindow + judged)
	close(stop)
	calls.Wait()
	return judge(cas, sers["counter"], sers["counter-new"], acked), nil
}

func writeConfig(cas *rig3.Case, version int, service string, timeoutMs int) uint64 {
	route := rig3.Route{Name: "status", Host: host, Prefix: "/status/", Kind: "idempotent", Service: service, TimeoutMs: timeoutMs, TargetMs: 300, Attempts: 2, Public: true}
	return cas.Store.Put("config", "main", rig3.Config(version, []rig3.Route{route}, []string{"counter", "counter-new"}, nil))
}

// sendCalls sends some 20 requests a second to the hosts by turns.
func sendCalls(cas *rig3.Case, stop <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		calls.Go(func() {
			cas.Do(cas.Hosts[n%len(cas.Hosts)], rig3.Call{Method: http.MethodGet, Host: host, Path: "/status/2f", Deadline: 4 * time.Second})
		})
	}
}

// judge counts the requests that the old service ran later than configApply after the ack, by
// machines that are in touch.
func judge(cas *rig3.Case, old, next *rig3.Server, acked time.Time) []string {
	from := acked.Add(max(configApply, 2*stableWindow))
	late := 0
	var last time.Time
	for _, run := range old.Runs() {
		if run.At.After(from.Add(time.Second)) {
			late++
			last = run.At
		}
	}
	cas.Record.Line("case", fmt.Sprintf("the new service ran %d requests in all, the old one %d later than %s after the ack", len(next.Runs()), late, from.Add(time.Second).Sub(acked)))
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: the old service ran %d requests later than %s after the ack of the version that moves the route, the last after %s", late, from.Add(time.Second).Sub(acked), last.Sub(acked).Round(time.Millisecond))}
}
