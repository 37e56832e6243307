// Package persister is the HTTP client of the platform: its object API, its list
// of hosts and endpoints, and its weight store. It is the only package that knows
// their wire format.
//
// Objects: GET, PUT and DELETE /v1/objects/{path}; the version is sent as ETag
// and If-Match. Watch: GET /v1/watch. List: GET /v1/hosts.
package persister

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/decoder"
	"hemlockpin/connection/inspector"

	"github.com/rotisserie/eris"
)

const (
	// MaxValueBytes bounds the size of an object's value.
	MaxValueBytes = 1 << 20

	// maxAnswerBytes bounds the body of an answer, as received and as decompressed.
	maxAnswerBytes = 64 << 20

	// objectsPath is the path of all objects.
	objectsPath = "/v1/objects/"

	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
)

// Errors of calls to the platform. For the errors after which a write or a deletion
// may have taken effect, see Put.
var (
	ErrNotFound    = eris.New("persister: object not found")
	ErrConflict    = eris.New("persister: object has another version")
	ErrTooLarge    = eris.New("persister: value exceeds the maximum size")
	ErrRateLimited = eris.New("persister: platform refused the call by rate")
	ErrUnavailable = eris.New("persister: platform unavailable")
)

// Object is a versioned value. Version 0 means that the object does not exist.
type Object struct {
	Path    string
	Version uint64
	Value   []byte
}

// EntryKind is the kind of a process in the list.
type EntryKind string

// Kinds of processes in the list. The platform's name for the kind of a host is Entry;
// it does not mean the type Entry.
const (
	KindHost    EntryKind = "Entry"
	KindEngine  EntryKind = "Engine"
	KindService EntryKind = "Service"
)

// Entry is one process in the platform's list of hosts and endpoints.
type Entry struct {
	ID         string
	Kind       EntryKind
	Service    string
	Address    string
	DataCenter string
	Region     string `json:",omitempty"`
	Models     []string
	Leaving    bool
}

// Persister calls the platform at BaseURL.
type Persister struct {
	BaseURL string
	// Client sends the calls. If it has no transport, a transport is created at the
	// first call.
	Client http.Client
	// Region limits the list to the hosts of all regions and the endpoints of
	// this region, if the platform supports that; empty for all endpoints.
	Region string

	once  sync.Once
	calls atomic.Int64
	list  listCache
}

func (per *Persister) client() *http.Client {
	per.once.Do(func() {
		if per.Client.Transport != nil {
			return
		}
		dialer := &net.Dialer{Timeout: dialTimeout}
		tra := &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		}
		inspector.Attach(tra, nil)
		per.Client.Transport = tra
	})
	return &per.Client
}

// Calls returns the number of calls sent so far.
func (per *Persister) Calls() int64 { return per.calls.Load() }

// Get reads one object.
func (per *Persister) Get(ctx context.Context, path string) (Object, error) {
	res, err := per.do(ctx, http.MethodGet, objectsPath+path, nil, nil)
	if err != nil {
		return Object{}, eris.Wrapf(err, "Persister.Get: %s from platform %s", path, per.BaseURL)
	}
	if !res.framed {
		return Object{}, eris.Errorf("Persister.Get: %s from platform %s: the value has neither a length nor chunks and may have broken off", path, per.BaseURL)
	}
	version, err := parseVersion(res.etag)
	if err != nil {
		return Object{}, eris.Wrapf(err, "Persister.Get: %s from platform %s", path, per.BaseURL)
	}
	return Object{Path: path, Version: version, Value: res.body}, nil
}

// Put writes obj if the stored version is obj.Version, and returns the new
// version. After an error other than ErrConflict, ErrTooLarge and ErrRateLimited
// it is unknown whether the write took effect.
func (per *Persister) Put(ctx context.Context, obj Object) (uint64, error) {
	if len(obj.Value) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "Persister.Put: %s has %d bytes", obj.Path, len(obj.Value))
	}
	res, err := per.do(ctx, http.MethodPut, objectsPath+obj.Path, precondition(obj.Version), obj.Value)
	if err != nil {
		return 0, eris.Wrapf(err, "Persister.Put: %s to platform %s", obj.Path, per.BaseURL)
	}
	version, err := parseVersion(res.etag)
	return version, eris.Wrapf(err, "Persister.Put: %s to platform %s; the object may have been written", obj.Path, per.BaseURL)
}

// Delete removes an object if its stored version is the given version.
func (per *Persister) Delete(ctx context.Context, path string, version uint64) error {
	_, err := per.do(ctx, http.MethodDelete, objectsPath+path, precondition(version), nil)
	return eris.Wrapf(err, "Persister.Delete: %s at platform %s", path, per.BaseURL)
}

// Watch waits until an object whose path has the prefix has a version above
// afterVersion, or until maxWait has passed, and returns the changed objects.
func (per *Persister) Watch(ctx context.Context, prefix string, afterVersion uint64, maxWait time.Duration) ([]Object, error) {
	query := url.Values{}
	query.Set("Prefix", prefix)
	query.Set("After", strconv.FormatUint(afterVersion, 10))
	query.Set("WaitMs", strconv.FormatInt(maxWait.Milliseconds(), 10))
	res, err := per.do(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "Persister.Watch: %s at platform %s", prefix, per.BaseURL)
	}
	var objs []Object
	err = decoder.Unmarshal(res.body, &objs)
	return objs, eris.Wrapf(err, "Persister.Watch: decode answer of platform %s", per.BaseURL)
}

type response struct {
	etag string
	body []byte
	// receivedBytes is the length of the body as received, before decompression.
	receivedBytes int
	// unchanged is set if the platform answered with status 304: the list still has
	// the ETag of the request.
	unchanged bool
	// framed says that a length or chunks mark the end of the body.
	framed bool
}

func (per *Persister) do(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, per.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, eris.Wrap(err, "build request")
	}
	for name, val := range header {
		req.Header[name] = val
	}
	per.calls.Add(1)
	res, err := per.client().Do(req)
	if err != nil {
		per.closeIdleAfterTimeout(err)
		return response{}, eris.Wrap(err, "send")
	}
	defer res.Body.Close()
	limit := int64(maxAnswerBytes)
	if method == http.MethodGet && strings.HasPrefix(path, objectsPath) {
		limit = MaxValueBytes
	}
	buf, err := readAtMost(res.Body, limit)
	if err != nil {
		per.closeIdleAfterTimeout(err)
		return response{}, eris.Wrap(err, "read answer")
	}
	out := response{etag: res.Header.Get("ETag"), body: buf, receivedBytes: len(buf), unchanged: res.StatusCode == http.StatusNotModified}
	out.framed = res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Uncompressed
	if out.unchanged {
		return out, nil
	}
	if err := statusError(res.StatusCode); err != nil {
		return response{}, err
	}
	if res.Header.Get("Content-Encoding") == gzipEncoding {
		out.body, err = decompress(buf)
	}
	return out, err
}

// readAtMost reads to the end of an answer of at most limit bytes.
func readAtMost(rea io.Reader, limit int64) ([]byte, error) {
	buf, err := io.ReadAll(io.LimitReader(rea, limit+1))
	if err == nil && int64(len(buf)) > limit {
		err = eris.Errorf("the answer exceeds %d bytes", limit)
	}
	return buf, err
}

// closeIdleAfterTimeout closes the idle connections if err is a timeout: a
// network fault may block all established connections while new connections work.
func (per *Persister) closeIdleAfterTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		per.client().CloseIdleConnections()
	}
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return eris.Errorf("unexpected status %d", status)
	}
}

func precondition(version uint64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}

// parseVersion returns the version of an object. Version 0 would stand for an object that does not
// exist.
func parseVersion(etag string) (uint64, error) {
	digits := strings.Trim(etag, `"`)
	version, err := strconv.ParseUint(string(decoder.Normalize([]byte(digits))), 10, 64)
	if err != nil || version == 0 {
		return 0, eris.Errorf("the ETag %.64q is not the version of an object", etag)
	}
	return version, nil
}
