// Package invoker is the client of endpoints: model engines and plain services.
// All knowledge of their wire format stands here.
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

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

const (
	// packed is the content encoding that reports may come in.
	packed = "gzip"

	dialTimeout        = 500 * time.Millisecond
	idleConnTimeout    = 30 * time.Second
	maxIdlePerEndpoint = 64
	// clientRetention is how long an endpoint that is not called is remembered.
	clientRetention = 10 * time.Minute
)

// ErrUnresponsive marks a connection on which nothing arrived within the timeout.
var ErrUnresponsive = eris.New("invoker: no progress within the timeout")

// Execution says whether a request ran on an endpoint.
type Execution string

// Executions. An error is NotRun only where that is certain.
const (
	NotRun  Execution = "NotRun"
	Ran     Execution = "Ran"
	Unknown Execution = "Unknown"
)

// Error is a failure at an endpoint with the step and the peer.
type Error struct {
	Step   string
	Peer   string
	Status int
	Code   string
	Ran    Execution
	Err    error
}

// Error formats the failure.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: endpoint %s: status %d %s: %v", err.Step, err.Peer, err.Status, err.Code, err.Err)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// Invoker calls endpoints by address. Its zero value is ready.
type Invoker struct {
	// Traffic counts the bytes of prompts and of calls that may be repeated,
	// Control those of all other calls, such as load reports.
	Traffic counter.Traffic
	Control counter.Traffic

	mu      sync.Mutex
	clients map[peer]*client
	swept   time.Time
}

// peer is an endpoint by its address and by what the connections to it are for.
type peer struct {
	address string
	control bool
}

// client holds the connections to one endpoint, so that those of a silent one
// can be closed without touching the others.
type client struct {
	http.Client
	transport *http.Transport
	used      time.Time
}

func (inv *Invoker) client(pee peer) *http.Client {
	now := time.Now()
	inv.mu.Lock()
	defer inv.mu.Unlock()
	cli := inv.clients[pee]
	if cli == nil {
		cli = newClient(inv.trafficOf(pee))
		if inv.clients == nil {
			inv.clients = map[peer]*client{}
		}
		inv.clients[pee] = cli
	}
	cli.used = now
	inv.sweep(now)
	return &cli.Client
}

func (inv *Invoker) trafficOf(pee peer) *counter.Traffic {
	if pee.control {
		return &inv.Control
	}
	return &inv.Traffic
}

func newClient(traffic *counter.Traffic) *client {
	tra := &http.Transport{
		DialContext:         traffic.Dialer(dialTimeout),
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &client{Client: http.Client{Transport: tra}, transport: tra}
}

// sweep forgets endpoints that were not called for long. The caller holds the
// lock.
func (inv *Invoker) sweep(now time.Time) {
	if now.Sub(inv.swept) < clientRetention {
		return
	}
	inv.swept = now
	for pee, cli := range inv.clients {
		if now.Sub(cli.used) > clientRetention {
			cli.transport.CloseIdleConnections()
			delete(inv.clients, pee)
		}
	}
}

var onceClient = &http.Client{
	Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// clientFor picks the client of a call. The transport of net/http sends a
// request again by itself when a reused connection fails under it, so a call
// that must run at most once gets a connection of its own.
func (inv *Invoker) clientFor(address string, cal ServiceCall) *http.Client {
	if cal.AtMostOnce {
		return onceClient
	}
	return inv.client(peer{address: address})
}

// CloseIdleConnections closes the idle connections to an endpoint, so that later calls dial
// anew. Connections in use are judged by their own progress.
func (inv *Invoker) CloseIdleConnections(address string) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	for _, con := range []bool{false, true} {
		if cli := inv.clients[peer{address, con}]; cli != nil {
			cli.transport.CloseIdleConnections()
		}
	}
}

func inject(ctx context.Context, req *http.Request) {
	req.Header.Set("Content-Type", "application/json")
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
}

// ranAfterSend is NotRun only if no connection was made.
func ranAfterSend(err error) Execution {
	var ope *net.OpError
	if errors.As(err, &ope) && ope.Op == "dial" {
		return NotRun
	}
	return Unknown
}

func replyError(step, address string, res *http.Response) error {
	var bod struct {
		Code    string
		Message string
		Ran     Execution
	}
	buf, _ := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if json.Unmarshal(buf, &bod) != nil || bod.Ran == "" {
		bod.Ran = Unknown
	}
	return &Error{Step: step, Peer: address, Status: res.StatusCode, Code: bod.Code, Ran: bod.Ran, Err: eris.New(bod.Message)}
}

func (inv *Invoker) get(ctx context.Context, step, address, path string, out any) error {
	return inv.exchange(ctx, step, address, http.MethodGet, path, nil, out)
}

func (inv *Invoker) post(ctx context.Context, step, address, path string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Step: step, Peer: address, Ran: NotRun, Err: err}
	}
	return inv.exchange(ctx, step, address, http.MethodPost, path, body, nil)
}

func (inv *Invoker) exchange(ctx context.Context, step, address, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Step: step, Peer: address, Ran: NotRun, Err: err}
	}
	inject(ctx, req)
	if method == http.MethodGet {
		req.Header.Set("Accept-Encoding", packed)
	}
	res, err := inv.client(peer{address, true}).Do(req)
	if err != nil {
		return &Error{Step: step, Peer: address, Ran: ranAfterSend(err), Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return replyError(step, address, res)
	}
	if res.Header.Get("Content-Encoding") == packed {
		res.Body, err = gzip.NewReader(res.Body)
		if err != nil {
			return &Error{Step: step + ": unpack", Peer: address, Ran: Ran, Err: err}
		}
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		return nil
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(out)
	if err != nil {
		return &Error{Step: step + ": decode", Peer: address, Ran: Ran, Err: err}
	}
	return nil
}
