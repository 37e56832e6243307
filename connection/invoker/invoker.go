// Package invoker is the HTTP client of endpoints: model engines and plain
// services. It is the only package that knows their wire format.
package invoker

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hemlockpin/connection/counter"
	"hemlockpin/connection/decoder"
	"hemlockpin/connection/inspector"
	"hemlockpin/connection/rationer"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

const (
	// gzipEncoding is the content encoding of compressed reports.
	gzipEncoding = "gzip"

	// maxErrorBytes bounds the body of a reply that reports an error.
	maxErrorBytes = 64 << 10

	dialTimeout             = 500 * time.Millisecond
	idleConnTimeout         = 30 * time.Second
	maxIdleConnsPerEndpoint = 64
	// clientRetention is how long the client of an endpoint is kept without a call.
	// It is also the interval at which unused clients are removed.
	clientRetention = 10 * time.Minute
)

// ErrUnresponsive reports that nothing arrived on a connection within the timeout.
var ErrUnresponsive = eris.New("invoker: no progress within the timeout")

// Execution states whether a request ran on an endpoint.
type Execution string

// Values of Execution. NotRun is used only if it is certain that the request did
// not run.
const (
	NotRun  Execution = "NotRun"
	Ran     Execution = "Ran"
	Unknown Execution = "Unknown"
)

// Error is a failed call to an endpoint.
type Error struct {
	Step      string
	Address   string
	Status    int
	Code      string
	Execution Execution
	Err       error
}

// Error returns the step, the endpoint, its status and code, and the cause.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: endpoint %s: status %d %s: %v", err.Step, err.Address, err.Status, err.Code, err.Err)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// Invoker calls endpoints by address. Its zero value is ready to use.
type Invoker struct {
	// Traffic counts the bytes of generate calls and of service calls without
	// AtMostOnce. Control counts the bytes of control calls, such as reading load
	// reports. Service calls with AtMostOnce are not counted.
	Traffic counter.Traffic
	Control counter.Traffic
	// Memory bounds what the replies hold together: their heads, bodies and events; nil for no
	// limit. It must not change after the first call.
	Memory rationer.Memory

	once       sync.Once
	onceClient *http.Client

	mu          sync.Mutex
	clients     map[poolKey]*client
	lastRemoval time.Time
}

// poolKey identifies a connection pool by the endpoint's address and by whether the
// pool serves control calls.
type poolKey struct {
	address string
	control bool
}

// client is the connection pool of one poolKey. Pools are separate so that the
// connections to an unresponsive endpoint can be closed without affecting other
// endpoints.
type client struct {
	http.Client
	transport *http.Transport
	lastUsed  time.Time
}

func (inv *Invoker) client(key poolKey) *http.Client {
	now := time.Now()
	inv.mu.Lock()
	defer inv.mu.Unlock()
	cli := inv.clients[key]
	if cli == nil {
		cli = newClient(inv.trafficOf(key), inv.Memory)
		if inv.clients == nil {
			inv.clients = map[poolKey]*client{}
		}
		inv.clients[key] = cli
	}
	cli.lastUsed = now
	inv.removeUnused(now)
	return &cli.Client
}

func (inv *Invoker) trafficOf(key poolKey) *counter.Traffic {
	if key.control {
		return &inv.Control
	}
	return &inv.Traffic
}

func newClient(traffic *counter.Traffic, mem rationer.Memory) *client {
	tra := &http.Transport{
		DialContext:         traffic.Dialer(dialTimeout),
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	inspector.Attach(tra, mem)
	return &client{Client: http.Client{Transport: tra}, transport: tra}
}

// removeUnused removes the clients of endpoints that have not been called for
// clientRetention. The caller holds the lock.
func (inv *Invoker) removeUnused(now time.Time) {
	if now.Sub(inv.lastRemoval) < clientRetention {
		return
	}
	inv.lastRemoval = now
	for key, cli := range inv.clients {
		if now.Sub(cli.lastUsed) > clientRetention {
			cli.transport.CloseIdleConnections()
			delete(inv.clients, key)
		}
	}
}

// atMostOnceClient returns a client that opens a connection for each call and follows no
// redirects, so that it sends a call at most once.
func (inv *Invoker) atMostOnceClient() *http.Client {
	inv.once.Do(func() {
		tra := &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}
		inspector.Attach(tra, inv.Memory)
		inv.onceClient = &http.Client{
			Transport:     tra,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return inv.onceClient
}

// clientFor chooses the client of a service call. The transport of net/http
// retries a request by itself when a reused connection fails, so a call that
// must run at most once gets a new connection.
func (inv *Invoker) clientFor(address string, cal ServiceCall) *http.Client {
	if cal.AtMostOnce {
		return inv.atMostOnceClient()
	}
	return inv.client(poolKey{address: address})
}

// CloseIdleConnections closes the idle connections to an endpoint, so that later
// calls dial again. Connections in use are not closed: the calls on them have
// timeouts of their own.
func (inv *Invoker) CloseIdleConnections(address string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	for _, control := range []bool{false, true} {
		if cli := inv.clients[poolKey{address, control}]; cli != nil {
			cli.transport.CloseIdleConnections()
		}
	}
}

// setCommonHeaders sets the content type, which replaces the content type of a
// ServiceCall, and the trace context.
func setCommonHeaders(ctx context.Context, req *http.Request) {
	req.Header.Set("Content-Type", "application/json")
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
}

// executionAfter returns NotRun if err says that no connection was made, and
// Unknown otherwise.
func executionAfter(err error) Execution {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return NotRun
	}
	return Unknown
}

// replyError returns the error of a reply with a status other than 200. Its Execution
// is Unknown unless the endpoint reports whether the request ran.
func replyError(step, address string, res *http.Response) error {
	var body struct {
		Code    string
		Message string
		Ran     Execution
	}
	buf, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if decoder.Unmarshal(buf, &body) != nil || body.Ran == "" {
		body.Ran = Unknown
	}
	return &Error{Step: step, Address: address, Status: res.StatusCode, Code: body.Code, Execution: body.Ran, Err: eris.New(body.Message)}
}

func (inv *Invoker) get(ctx context.Context, step, address, path string, out any) error {
	return inv.controlCall(ctx, step, address, http.MethodGet, path, nil, out)
}

func (inv *Invoker) post(ctx context.Context, step, address, path string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Step: step, Address: address, Execution: NotRun, Err: err}
	}
	return inv.controlCall(ctx, step, address, http.MethodPost, path, body, nil)
}

// controlCall sends a control call and decodes the reply into out, which may be nil.
func (inv *Invoker) controlCall(ctx context.Context, step, address, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Step: step, Address: address, Execution: NotRun, Err: err}
	}
	setCommonHeaders(ctx, req)
	if method == http.MethodGet {
		req.Header.Set("Accept-Encoding", gzipEncoding)
	}
	res, err := inv.client(poolKey{address, true}).Do(req)
	if err != nil {
		return &Error{Step: step, Address: address, Execution: executionAfter(err), Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return replyError(step, address, res)
	}
	if res.Header.Get("Content-Encoding") == gzipEncoding {
		res.Body, err = gzip.NewReader(res.Body)
		if err != nil {
			return &Error{Step: step + ": unpack", Address: address, Execution: Ran, Err: err}
		}
	}
	// The reply counts only if it is whole, with its trailer.
	buf, err := inv.readReply(res.Body)
	defer buf.Release()
	if err != nil {
		return &Error{Step: step + ": read", Address: address, Execution: Ran, Err: err}
	}
	if out == nil {
		return nil
	}
	if err := decoder.Unmarshal(buf.Bytes(), out); err != nil {
		return &Error{Step: step + ": decode", Address: address, Execution: Ran, Err: err}
	}
	return nil
}

// readReply reads a whole reply into memory.
func (inv *Invoker) readReply(bod io.Reader) (*rationer.Buffer, error) {
	buf := &rationer.Buffer{Memory: inv.Memory}
	return buf, eris.Wrap(buf.ReadAll(bod, maxReplyBytes), "the reply")
}
