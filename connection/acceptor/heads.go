package acceptor

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

const (
	// headByteCost and headFieldCost are the memory in bytes that a byte and a field of a head
	// take while it is read, parsed, and kept with its request.
	headByteCost  = 3
	headFieldCost = 400
	// smallHeadBytes is the memory of a head up to which it may use the whole budget. Larger
	// heads leave smallHeadShare of the budget to the small ones of ordinary callers.
	smallHeadBytes = 16 << 10
	smallHeadShare = 0.25
	// headRefusalTimeout bounds the write of a refusal.
	headRefusalTimeout = 200 * time.Millisecond
)

const (
	tooManyFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headsFull     = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nHemlockpin-Run: NotRun\r\nContent-Length: 0\r\n\r\n"
)

var errHeadRefused = eris.New("acceptor: the head of the request exceeds the limits")

// HeadBudget bounds the heads of requests that the connections of a process hold together, from
// their first bytes to the end of the requests. When it is used up, the largest heads that are not
// complete give way first. The zero value has no limits.
type HeadBudget struct {
	// MaxFields is the limit of the fields of one head, MaxBytes that of the memory of all heads;
	// 0 for none.
	MaxFields int
	MaxBytes  int64
	// Scope counts refused heads; nil for none.
	Scope tally.Scope

	mu       sync.Mutex
	reserved int64
	// unfinished are the connections whose heads are not complete.
	unfinished map[*conn]struct{}
}

// headAccount is what a connection holds of the budget. The budget's mutex guards it.
type headAccount struct {
	// complete says that the head has been read and its request is in progress.
	complete bool
	cost     int64
	fields   int
	// since is when the connection began to wait for the head.
	since time.Time
}

// verdict is the decision on bytes of a head.
type verdict int

const (
	accepted verdict = iota
	refusedFields
	refusedMemory
)

// charge adds bytes that a connection has received to its head. To make room it closes
// connections with larger unfinished heads.
func (bud *HeadBudget) charge(con *conn, received []byte) verdict {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	hea := &con.head
	if hea.complete || len(received) == 0 {
		return accepted
	}
	fields := bytes.Count(received, []byte{'\n'})
	cost := int64(len(received))*headByteCost + int64(fields)*headFieldCost
	if hea.fields += fields; bud.MaxFields > 0 && hea.fields > bud.MaxFields {
		return refusedFields
	}
	for !bud.hasRoom(hea.cost+cost, cost) {
		worst := bud.largest()
		if worst == nil || worst == con || worst.head.cost <= hea.cost+cost {
			return refusedMemory
		}
		bud.count("displaced")
		bud.forget(worst)
		_ = worst.Conn.Close()
	}
	hea.cost += cost
	bud.reserved += cost
	if bud.unfinished == nil {
		bud.unfinished = map[*conn]struct{}{}
	}
	bud.unfinished[con] = struct{}{}
	return accepted
}

// hasRoom reports whether a head may grow by growth to total.
func (bud *HeadBudget) hasRoom(total, growth int64) bool {
	limit := bud.MaxBytes
	if total > smallHeadBytes {
		limit -= int64(smallHeadShare * float64(limit))
	}
	return bud.MaxBytes <= 0 || bud.reserved+growth <= limit
}

// largest returns the connection with the largest unfinished head; nil for none.
func (bud *HeadBudget) largest() *conn {
	var worst *conn
	for con := range bud.unfinished {
		if worst == nil || con.head.cost > worst.head.cost {
			worst = con
		}
	}
	return worst
}

// forget gives back what a connection holds.
func (bud *HeadBudget) forget(con *conn) {
	bud.reserved -= con.head.cost
	con.head.cost, con.head.fields = 0, 0
	delete(bud.unfinished, con)
}

// completeHead records that the head of a connection has been read.
func (bud *HeadBudget) completeHead(con *conn) {
	if bud == nil {
		return
	}
	bud.mu.Lock()
	defer bud.mu.Unlock()
	con.head.complete = true
	delete(bud.unfinished, con)
}

// endRequest gives back the head of a request that has ended, or of a closed connection. The
// connection then waits for the next head.
func (bud *HeadBudget) endRequest(con *conn, now time.Time) {
	if bud == nil {
		return
	}
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.forget(con)
	con.head.complete, con.head.since = false, now
}

// waitingSince returns since when a connection waits for a head, and false if it has a request.
func (bud *HeadBudget) waitingSince(con *conn) (time.Time, bool) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return con.head.since, !con.head.complete
}

func (bud *HeadBudget) count(reason string) {
	if bud.Scope != nil {
		bud.Scope.Tagged(map[string]string{"reason": reason}).Counter("heads_refused").Inc(1)
	}
}

// Read reads from the connection and accounts for the head of a request. It fails once the head
// exceeds the limits; the caller has then got a refusal.
func (con *conn) Read(buf []byte) (int, error) {
	n, err := con.Conn.Read(buf)
	if n <= 0 || con.heads == nil {
		return n, err
	}
	switch con.heads.charge(con, buf[:n]) {
	case refusedFields:
		con.heads.count("fields")
		con.refuseHead(tooManyFields)
	case refusedMemory:
		con.heads.count("memory")
		con.refuseHead(headsFull)
	default:
		return n, err
	}
	return 0, errHeadRefused
}

// refuseHead answers a request whose head will not be read further. net/http closes the
// connection after the failed read.
func (con *conn) refuseHead(answer string) {
	_ = con.SetWriteDeadline(time.Now().Add(headRefusalTimeout))
	_, _ = io.WriteString(con.Conn, answer)
}

// ConnState follows the requests of a connection, for http.Server.ConnState.
func ConnState(con net.Conn, state http.ConnState) {
	if own, ok := con.(*conn); ok && state == http.StateIdle {
		own.heads.endRequest(own, time.Now())
	}
}

// CountHeads wraps the handler of a server whose connections come from a Listener: the head of a
// request has been read when its handler begins.
func CountHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		if con, ok := htr.Context().Value(connKey{}).(*conn); ok {
			con.heads.completeHead(con)
		}
		next.ServeHTTP(wri, htr)
	})
}
