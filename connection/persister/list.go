package persister

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/rotisserie/eris"
)

// encoding is the content encoding that the list may come in.
const encoding = "gzip"

// listed is the last list that was read.
type listed struct {
	mu      sync.Mutex
	etag    string
	entries []Entry
	cost    int
}

// Entries reads the lagging list of hosts and endpoints. The list comes packed,
// and only where it has changed since the last read. The result must not be
// changed.
func (per *Persister) Entries(ctx context.Context) ([]Entry, error) {
	per.list.mu.Lock()
	defer per.list.mu.Unlock()
	path := "/v1/hosts"
	if per.Region != "" {
		path += "?" + url.Values{"Region": {per.Region}}.Encode()
	}
	hea := http.Header{"Accept-Encoding": {encoding}}
	if per.list.etag != "" {
		hea.Set("If-None-Match", per.list.etag)
	}
	res, err := per.do(ctx, http.MethodGet, path, hea, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "Persister.Entries: platform %s", per.BaseURL)
	}
	per.list.cost = res.received
	if res.unchanged {
		return per.list.entries, nil
	}
	var ents []Entry
	if err := json.Unmarshal(res.body, &ents); err != nil {
		return nil, eris.Wrapf(err, "Persister.Entries: decode answer of platform %s", per.BaseURL)
	}
	per.list.etag = res.etag
	per.list.entries = ents
	return ents, nil
}

// ListBytes returns the bytes that the last read of the list took.
func (per *Persister) ListBytes() int {
	per.list.mu.Lock()
	defer per.list.mu.Unlock()
	return per.list.cost
}

func unpack(buf []byte) ([]byte, error) {
	rea, err := gzip.NewReader(bytes.NewReader(buf))
	if err != nil {
		return nil, eris.Wrap(err, "unpack answer")
	}
	out, err := io.ReadAll(io.LimitReader(rea, maxListBytes))
	return out, eris.Wrap(err, "unpack answer")
}
