// Command 14 shows what hosts do with the evacuation of a zone after the store has come back from
// a copy.
package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"hemlockpin/review/rig3"
)

const (
	service = "counter"
	host    = "a.example"
	zoneA   = "guj-west-a"
	zoneB   = "guj-west-b"
	// evacuate and stableWindow are the bounds of the sheet.
	evacuate     = 5000 * time.Millisecond
	stableWindow = 4 * time.Second
	// copyAge is the age of the copy from which the store comes back, and away the time for which
	// it is away before.
	copyAge = 4 * time.Second
	away    = time.Second
	// judged is the time for which requests are judged.
	judged = 6 * time.Second
)

func main() {
	maps.Copy(rig3.Bounds, map[string]string{"evacuateMs": "5000", "configApplyMs": "3000", "drainMs": "3000", "coldOverage": "1.5", "coldSlack": "5"})
	rig3.Main("14", run)
}

func run(cas *rig3.Case) ([]string, error) {
	var sers []*rig3.Server
	for i, zone := range []string{zoneA, zoneB, zoneA, zoneB} {
		ser := &rig3.Server{ID: fmt.Sprintf("i-%d", i), Service: service, Zone: zone, Slots: 6, Work: 20 * time.Millisecond}
		if err := cas.Register(ser, i); err != nil {
			return nil, err
		}
		sers = append(sers, ser)
	}
	route := rig3.Route{Name: "status", Host: host, Prefix: "/status/", Kind: "idempotent", Service: service, TimeoutMs: 4000, TargetMs: 300, Attempts: 2, Public: true}
	cas.Store.Put("config", "main", rig3.Config(7, []rig3.Route{route}, []string{service}, nil))
	for _, zone := range []string{zoneA, zoneB, zoneA} {
		cas.AddHost(zone)
	}
	if err := cas.StartAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() { sendCalls(cas, stop) })
	acked := play(cas)
	close(stop)
	calls.Wait()
	return judge(cas, sers, acked), nil
}

// play plays what the operator and the store do. It returns when the store has acknowledged the
// last evacuation.
func play(cas *rig3.Case) time.Time {
	time.Sleep(2 * stableWindow)
	cop, copied := cas.Store.Copy(), time.Now()
	// The operator evacuates a zone and takes that back.
	putEvacuation(cas)
	time.Sleep(copyAge / 2)
	cas.Record.Line("store", fmt.Sprintf("acknowledged that the evacuation of %s is taken back, revision %d", zoneB, cas.Store.Delete("evacuations", zoneB)))
	time.Sleep(time.Until(copied.Add(copyAge)))
	cas.Record.Line("store", fmt.Sprintf("goes away at revision %d", cas.Store.Revision()))
	cas.Store.SetAway(true)
	time.Sleep(away)
	if cas.Trouble {
		// All that the operator and the servers wrote stands in the copy, and nothing has to be
		// written again.
		cas.Store.Restore(cop)
	} else {
		cas.Store.SetAway(false)
	}
	cas.Record.Line("store", fmt.Sprintf("is back at revision %d", cas.Store.Revision()))
	time.Sleep(2 * stableWindow)
	putEvacuation(cas)
	acked := time.Now()
	time.Sleep(evacuate + judged)
	return acked
}

func putEvacuation(cas *rig3.Case) {
	revision := cas.Store.Put("evacuations", zoneB, map[string]any{})
	cas.Record.Line("store", fmt.Sprintf("acknowledged the evacuation of %s, revision %d", zoneB, revision))
}

// sendCalls sends some 40 requests a second to the hosts by turns.
func sendCalls(cas *rig3.Case, stop <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		calls.Go(func() {
			cas.Do(cas.Hosts[n%len(cas.Hosts)], rig3.Call{Method: http.MethodGet, Host: host, Path: "/status/2f", Deadline: 4 * time.Second})
		})
	}
}

// judge counts the requests that reached servers of the zone later than the bound after the ack.
func judge(cas *rig3.Case, sers []*rig3.Server, acked time.Time) []string {
	all, late := 0, 0
	var last time.Duration
	for _, ser := range sers {
		for _, run := range ser.Runs() {
			after := run.At.Sub(acked)
			if after <= evacuate {
				continue
			}
			all++
			if ser.Zone == zoneB {
				late, last = late+1, max(last, after)
			}
		}
	}
	cas.Record.Line("case", fmt.Sprintf("later than %s after the ack %d requests ran, %d of them in %s", evacuate, all, late, zoneB))
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("EVAC: %d of %d requests reached servers of %s later than %s after the ack of its evacuation, the last after %s", late, all, zoneB, evacuate, last.Round(time.Millisecond))}
}
