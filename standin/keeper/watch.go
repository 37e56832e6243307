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

// watch waits for an object with a version above After. Beyond the limit of
// waiting watches it refuses.
func (kee *Keeper) watch(wri http.ResponseWriter, req *http.Request) {
	if !kee.enterWatch() {
		wri.Header().Set("Retry-After", "1")
		wri.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer kee.leaveWatch()
	aft, _ := strconv.ParseUint(req.FormValue("After"), 10, 64)
	wai, _ := strconv.Atoi(req.FormValue("WaitMs"))
	tim := time.NewTimer(time.Duration(wai) * time.Millisecond)
	defer tim.Stop()
	for {
		objs, cha := kee.after(req.FormValue("Prefix"), aft)
		if len(objs) > 0 {
			_ = json.NewEncoder(wri).Encode(objs)
			return
		}
		select {
		case <-cha:
		case <-tim.C:
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

// after returns the newer objects in the order of their versions.
func (kee *Keeper) after(prefix string, aft uint64) ([]persister.Object, chan struct{}) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	var objs []persister.Object
	for _, obj := range kee.objects {
		if obj.Version > aft && strings.HasPrefix(obj.Path, prefix) {
			objs = append(objs, obj)
		}
	}
	sort.Slice(objs, func(one, two int) bool { return objs[one].Version < objs[two].Version })
	return objs, kee.changed
}
