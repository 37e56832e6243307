package keeper

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/persister"

	"github.com/cespare/xxhash/v2"
)

// list serves the newest listing that is at least the lag old: the hosts of all
// regions and the endpoints of the region that the request names. A caller that
// names the version it holds is only told that it is unchanged.
func (kee *Keeper) list(wri http.ResponseWriter, req *http.Request) {
	buf, err := json.Marshal(kee.listed(req.FormValue("Region"), time.Now()))
	if err != nil {
		wri.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(buf), 16))
	wri.Header().Set("ETag", tag)
	if req.Header.Get("If-None-Match") == tag {
		wri.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(req.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = wri.Write(buf)
		return
	}
	wri.Header().Set("Content-Encoding", "gzip")
	pac := gzip.NewWriter(wri)
	_, _ = pac.Write(buf)
	_ = pac.Close()
}

func (kee *Keeper) listed(region string, now time.Time) []persister.Entry {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	out := []persister.Entry{}
	for _, ent := range kee.lagging(now.Add(-kee.set.ListLag)) {
		if region == "" || ent.Region == "" || ent.Region == region || ent.Kind == persister.KindHost {
			out = append(out, ent)
		}
	}
	return out
}

// lagging returns the newest listing before a time.
func (kee *Keeper) lagging(lim time.Time) []persister.Entry {
	var out []persister.Entry
	for _, lis := range kee.history {
		if lis.at.Before(lim) {
			out = lis.entries
		}
	}
	return out
}
