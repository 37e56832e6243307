package persister

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/url"
	"sync"

	"hemlockpin/connection/decoder"

	"github.com/rotisserie/eris"
)

// gzipEncoding is the content encoding of a compressed list.
const gzipEncoding = "gzip"

// listCache is the last received list with its ETag. receivedBytes is the length of
// the last answer's body, also if the list had not changed.
type listCache struct {
	mu            sync.Mutex
	etag          string
	entries       []Entry
	receivedBytes int
}

// Entries reads the list of hosts and endpoints, which lags behind their state.
// The list is transferred compressed, and only if it has changed since the last
// read. The caller must not modify the result.
func (per *Persister) Entries(ctx context.Context) ([]Entry, error) {
	per.list.mu.Lock()
	defer per.list.mu.Unlock()
	path := "/v1/hosts"
	if per.Region != "" {
		path += "?" + url.Values{"Region": {per.Region}}.Encode()
	}
	header := http.Header{"Accept-Encoding": {gzipEncoding}}
	if per.list.etag != "" {
		header.Set("If-None-Match", per.list.etag)
	}
	res, err := per.do(ctx, http.MethodGet, path, header, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "Persister.Entries: platform %s", per.BaseURL)
	}
	per.list.receivedBytes = res.receivedBytes
	if res.unchanged {
		return per.list.entries, nil
	}
	var ents []Entry
	if err := decoder.Unmarshal(res.body, &ents); err != nil {
		return nil, eris.Wrapf(err, "Persister.Entries: decode answer of platform %s", per.BaseURL)
	}
	per.list.etag = res.etag
	per.list.entries = ents
	return ents, nil
}

// ListBytes returns the length of the last answer's body as received, in bytes;
// 0 if the list had not changed.
func (per *Persister) ListBytes() int {
	per.list.mu.Lock()
	defer per.list.mu.Unlock()
	return per.list.receivedBytes
}

func decompress(buf []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(buf))
	if err != nil {
		return nil, eris.Wrap(err, "unpack answer")
	}
	out, err := readAtMost(reader, maxAnswerBytes)
	return out, eris.Wrap(err, "unpack answer")
}
