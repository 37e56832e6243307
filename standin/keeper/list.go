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

// list serves the newest listing that is older than ListLag: the hosts of all
// regions and the endpoints of the requested region. It answers status 304 if
// the caller's If-None-Match header names the same listing.
func (kee *Keeper) list(wri http.ResponseWriter, req *http.Request) {
	buf, err := json.Marshal(kee.visibleEntries(req.FormValue("Region"), time.Now()))
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
	gzw := gzip.NewWriter(wri)
	_, _ = gzw.Write(buf)
	_ = gzw.Close()
}

// visibleEntries returns the entries that a request for a region gets at a time.
func (kee *Keeper) visibleEntries(region string, now time.Time) []persister.Entry {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	out := []persister.Entry{}
	for _, ent := range kee.listingBefore(now.Add(-kee.set.ListLag)) {
		if region == "" || ent.Region == "" || ent.Region == region || ent.Kind == persister.KindHost {
			out = append(out, ent)
		}
	}
	return out
}

// listingBefore returns the newest listing before a time.
func (kee *Keeper) listingBefore(before time.Time) []persister.Entry {
	var out []persister.Entry
	for _, lis := range kee.history {
		if lis.at.Before(before) {
			out = lis.entries
		}
	}
	return out
}
