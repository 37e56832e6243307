// Command 12 shows what hosts do with a server that leaves after the store has come back from a
// copy.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlockpin/review/rig3"
)

const (
	service = "counter"
	host    = "a.example"
	// drain is the bound drainMs of the sheet.
	drain = 2000 * time.Millisecond
	// copyAge is the age of the copy from which the store comes back, and away the time for which
	// it is away before.
	copyAge = 4 * time.Second
	away    = time.Second
	// rewriteAfter is the time after the store's return at which its writers write again.
	rewriteAfter = 200 * time.Millisecond
	// stable is the time after the drill until the machines are in touch, twice stableWindowMs.
	stable = 6 * time.Second
	// serves is how long a server serves after it has reported that it leaves: drainMs and the
	// sheet's linger_ms.
	serves = drain + 1500*time.Millisecond
	// work is how long a request runs.
	work = 300 * time.Millisecond
)

func main() { rig3.Main("12", run) }

// drill is the state of the case.
type drill struct {
	*rig3.Case
	servers []*rig3.Server
	version int

	mu sync.Mutex
	// answered holds the IDs of the requests that were answered with success.
	answered map[string]bool
}

func run(cas *rig3.Case) ([]string, error) {
	dri := &drill{Case: cas, version: 7, answered: map[string]bool{}}
	for i := range 3 {
		if _, err := dri.addServer(i); err != nil {
			return nil, err
		}
	}
	dri.writeConfig()
	for range 3 {
		cas.AddHost("colombo")
	}
	if err := cas.StartAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() { dri.sendCalls(stop) })
	late, acked, err := dri.play()
	close(stop)
	calls.Wait()
	if err != nil {
		return nil, err
	}
	return dri.judge(late, acked), nil
}

// play plays what happens to the store. It returns the server that leaves, and when the store has
// acknowledged that.
func (dri *drill) play() (late *rig3.Server, acked time.Time, err error) {
	time.Sleep(stable)

	// The operator writes four configurations, and a server starts.
	cop, copied := dri.Store.Copy(), time.Now()
	for range 4 {
		dri.version += 3
		dri.writeConfig()
		time.Sleep(800 * time.Millisecond)
	}
	if late, err = dri.addServer(3); err != nil {
		return nil, acked, err
	}
	time.Sleep(time.Until(copied.Add(copyAge)))
	if dri.Trouble {
		dri.restore(cop)
	}
	time.Sleep(away + stable)

	revision := dri.Store.Put("servers", late.ID, late.Entry("draining"))
	acked = time.Now()
	dri.Record.Line("store", fmt.Sprintf("acknowledged that %s is draining, revision %d", late.ID, revision))
	time.Sleep(serves)
	late.Close()
	dri.Record.Line(late.ID, "exits")
	dri.Store.Delete("servers", late.ID)
	time.Sleep(time.Second)
	return late, acked, nil
}

// restore makes the store go away and come back from the copy; the operator and the servers then
// write again what they wrote.
func (dri *drill) restore(cop rig3.Copy) {
	sto := dri.Store
	dri.Record.Line("store", fmt.Sprintf("goes away at revision %d", sto.Revision()))
	sto.SetAway(true)
	time.Sleep(away)
	sto.Restore(cop)
	time.Sleep(rewriteAfter)
	dri.writeConfig()
	for _, ser := range dri.servers {
		sto.Put("servers", ser.ID, ser.Entry("ready"))
	}
	dri.Record.Line("store", fmt.Sprintf("is back from a copy of revision %d; all is written again, revision %d", cop.Revision(), sto.Revision()))
}

func (dri *drill) addServer(n int) (*rig3.Server, error) {
	ser := &rig3.Server{ID: fmt.Sprintf("i-%d", n), Service: service, Zone: "colombo", Slots: 6, Work: work}
	dri.servers = append(dri.servers, ser)
	return ser, dri.Register(ser, n)
}

func (dri *drill) writeConfig() {
	route := rig3.Route{Name: "order", Host: host, Prefix: "/order/", Kind: "non_idempotent", Service: service, TimeoutMs: 4000, TargetMs: 600, Attempts: 2, Public: true}
	dri.Store.Put("config", "main", rig3.Config(dri.version, []rig3.Route{route}, []string{service}, nil))
}

// sendCalls sends some 25 requests a second to the hosts by turns.
func (dri *drill) sendCalls(stop <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		calls.Go(func() {
			cal := rig3.Call{ID: rig3.NextID(), Method: http.MethodPost, Host: host, Path: "/order/2f", Body: "{}", Deadline: 4 * time.Second}
			if res := dri.Do(dri.Hosts[n%len(dri.Hosts)], cal); res.Err == nil && res.Status == http.StatusOK {
				dri.mu.Lock()
				defer dri.mu.Unlock()
				dri.answered[cal.ID] = true
			}
		})
	}
}

// judge counts the requests that reached the server later than drainMs after the ack, and those
// that it was running when it exited.
func (dri *drill) judge(ser *rig3.Server, acked time.Time) []string {
	before, late, lost := 0, 0, 0
	var last time.Duration
	for _, run := range ser.Runs() {
		if run.At.Before(acked) {
			before++
		}
		if run.At.Sub(acked) > drain {
			late, last = late+1, run.At.Sub(acked)
			if !dri.answered[run.ID] {
				lost++
			}
		}
	}
	dri.Record.Line("case", fmt.Sprintf("%s got %d requests before the ack, %d later than %s after it, %d of which had no success", ser.ID, before, late, drain, lost))
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %s after the store's ack, the last after %s; %d of them were lost", late, ser.ID, drain, last.Round(time.Millisecond), lost)}
}
