package keeper

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/persister"
)

// watch waits for objects with a version above After. It refuses with status 429
// if MaxWatchers watches are already waiting.
func (kee *Keeper) watch(wri http.ResponseWriter, req *http.Request) {
	if !kee.enterWatch() {
		wri.Header().Set("Retry-After", "1")
		wri.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer kee.leaveWatch()
	after, _ := strconv.ParseUint(req.FormValue("After"), 10, 64)
	waitMs, _ := strconv.Atoi(req.FormValue("WaitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		objs, changed := kee.objectsAfter(req.FormValue("Prefix"), after)
		if len(objs) > 0 {
			_ = json.NewEncoder(wri).Encode(objs)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_ = json.NewEncoder(wri).Encode([]persister.Object{})
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (kee *Keeper) enterWatch() bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if kee.set.MaxWatchers > 0 && kee.counts.Waiting >= kee.set.MaxWatchers {
		kee.counts.Limited++
		return false
	}
	kee.counts.Watches++
	kee.counts.Waiting++
	return true
}

func (kee *Keeper) leaveWatch() {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	kee.counts.Waiting--
}

// objectsAfter returns the objects of a path prefix with a higher version, in
// the order of their versions, and a channel that the next change closes.
func (kee *Keeper) objectsAfter(prefix string, version uint64) ([]persister.Object, chan struct{}) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	var objs []persister.Object
	for _, obj := range kee.objects {
		if obj.Version > version && strings.HasPrefix(obj.Path, prefix) {
			objs = append(objs, obj)
		}
	}
	sort.Slice(objs, func(i, j int) bool { return objs[i].Version < objs[j].Version })
	return objs, kee.changed
}
