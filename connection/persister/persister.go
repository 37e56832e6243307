// Package persister is the client of the platform: its object API, its list of
// hosts and endpoints, and its weight store. All knowledge of the platform's
// wire format stands here.
//
// Objects: GET, PUT and DELETE /v1/objects/{path}; the version travels as ETag
// and If-Match. Watch: GET /v1/watch. List: GET /v1/hosts.
package persister

import (
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/rotisserie/eris"
)

const (
	// MaxValueBytes bounds the value of one object.
	MaxValueBytes = 1 << 20

	maxListBytes = 64 << 20

	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
)

// Errors of the object API. Any other error of a Put or Delete leaves the
// result of the write unknown.
var (
	ErrNotFound    = eris.New("persister: object not found")
	ErrConflict    = eris.New("persister: object has another version")
	ErrTooLarge    = eris.New("persister: value exceeds the maximum size")
	ErrRateLimited = eris.New("persister: platform refused the call by rate")
	ErrUnavailable = eris.New("persister: platform unavailable")
)

// Object is one versioned value. Version 0 stands for an absent object.
type Object struct {
	Path    string
	Version uint64
	Value   []byte
}

// EntryKind is the kind of a listed process.
type EntryKind string

// Kinds of listed processes.
const (
	KindHost    EntryKind = "Entry"
	KindEngine  EntryKind = "Engine"
	KindService EntryKind = "Service"
)

// Entry is one line of the platform's list of hosts and endpoints.
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
	// Client places the calls. A zero client gets a transport of its own.
	Client http.Client
	// Region limits the list to the hosts of all regions and the endpoints of
	// this one, where the platform can; empty for all.
	Region string

	once  sync.Once
	calls atomic.Int64
	list  listed
}

func (per *Persister) client() *http.Client {
	per.once.Do(func() {
		if per.Client.Transport != nil {
			return
		}
		dia := &net.Dialer{Timeout: dialTimeout}
		per.Client.Transport = &http.Transport{
			DialContext: dia.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		}
	})
	return &per.Client
}

// Calls returns the number of calls sent so far.
func (per *Persister) Calls() int64 { return per.calls.Load() }

// Get reads one object.
func (per *Persister) Get(ctx context.Context, path string) (Object, error) {
	res, err := per.do(ctx, http.MethodGet, "/v1/objects/"+path, nil, nil)
	if err != nil {
		return Object{}, eris.Wrapf(err, "Persister.Get: %s from platform %s", path, per.BaseURL)
	}
	return Object{Path: path, Version: parseVersion(res.etag), Value: res.body}, nil
}

// Put writes obj on the condition that the stored version is obj.Version.
// It returns the new version. Errors other than ErrConflict, ErrTooLarge and
// ErrRateLimited leave the result unknown.
func (per *Persister) Put(ctx context.Context, obj Object) (uint64, error) {
	if len(obj.Value) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "Persister.Put: %s has %d bytes", obj.Path, len(obj.Value))
	}
	res, err := per.do(ctx, http.MethodPut, "/v1/objects/"+obj.Path, condition(obj.Version), obj.Value)
	if err != nil {
		return 0, eris.Wrapf(err, "Persister.Put: %s to platform %s", obj.Path, per.BaseURL)
	}
	return parseVersion(res.etag), nil
}

// Delete removes an object on the condition that its version is as given.
func (per *Persister) Delete(ctx context.Context, path string, version uint64) error {
	_, err := per.do(ctx, http.MethodDelete, "/v1/objects/"+path, condition(version), nil)
	return eris.Wrapf(err, "Persister.Delete: %s at platform %s", path, per.BaseURL)
}

// Watch waits until an object under prefix has a version above after, or until
// wait has passed, and returns the changed objects.
func (per *Persister) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, error) {
	qry := url.Values{}
	qry.Set("Prefix", prefix)
	qry.Set("After", strconv.FormatUint(after, 10))
	qry.Set("WaitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	res, err := per.do(ctx, http.MethodGet, "/v1/watch?"+qry.Encode(), nil, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "Persister.Watch: %s at platform %s", prefix, per.BaseURL)
	}
	var objs []Object
	err = json.Unmarshal(res.body, &objs)
	return objs, eris.Wrapf(err, "Persister.Watch: decode answer of platform %s", per.BaseURL)
}

type response struct {
	etag string
	body []byte
	// received is the length of the body on the wire.
	received int
	// unchanged is set where the platform holds what the request named.
	unchanged bool
}

func (per *Persister) do(ctx context.Context, method, path string, head http.Header, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, per.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, eris.Wrap(err, "build request")
	}
	for nam, val := range head {
		req.Header[nam] = val
	}
	per.calls.Add(1)
	res, err := per.client().Do(req)
	if err != nil {
		per.condemn(err)
		return response{}, eris.Wrap(err, "send")
	}
	defer res.Body.Close()
	buf, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		per.condemn(err)
		return response{}, eris.Wrap(err, "read answer")
	}
	out := response{etag: res.Header.Get("ETag"), body: buf, received: len(buf), unchanged: res.StatusCode == http.StatusNotModified}
	if out.unchanged {
		return out, nil
	}
	if err := statusError(res.StatusCode); err != nil {
		return response{}, err
	}
	if res.Header.Get("Content-Encoding") == encoding {
		out.body, err = unpack(buf)
	}
	return out, err
}

// condemn closes the idle connections after a call timed out: what silenced one
// may have silenced all that were open, while new ones work.
func (per *Persister) condemn(err error) {
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

func condition(version uint64) http.Header {
	if version == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}

func parseVersion(etag string) uint64 {
	ver, _ := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	return ver
}
