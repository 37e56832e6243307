package standins

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// patience is how long a consumer goes on waiting after its deadline, to see what comes.
const patience = 5 * time.Second

// Channel is a consumer's channel to a host.
type Channel struct {
	// Send writes a request by calling write; nil to write at once.
	Send func(write func() error) error

	con    net.Conn
	reader *bufio.Reader
	fleet  *Fleet
}

// Open opens a channel.
func (fle *Fleet) Open(address string) (*Channel, error) {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{con: con, reader: bufio.NewReader(con), fleet: fle}, nil
}

// Close closes the channel.
func (cha *Channel) Close() error { return cha.con.Close() }

// Request is a consumer's request.
type Request struct {
	ID       string
	Method   string
	Path     string
	Key      string
	Deadline time.Duration
	Body     []byte
	// Header holds further lines of the head, each with its line ending.
	Header string
	// Patience is how long the consumer waits for the next bytes; 0 for until some time
	// after the deadline.
	Patience time.Duration
}

// Reply is what a consumer gets. Status is 0 if the channel ended without an answer, and Err
// says how the channel ended if the answer is not complete.
type Reply struct {
	Status int
	Seal   string
	Body   string
	// RetryAfter is the time after which the consumer may come back; 0 if the answer has none.
	RetryAfter time.Duration
	Err        error
	After      time.Duration
}

// OwnedBy reports whether the reply is the complete answer of a server to a request.
func (rep Reply) OwnedBy(id string) bool {
	return rep.Err == nil && rep.Status == http.StatusOK && strings.HasSuffix(rep.Seal, "."+id) && rep.Body == Answer(id)
}

// String describes the reply in the record.
func (rep Reply) String() string {
	if rep.Err != nil {
		return fmt.Sprintf("status %d, then the channel ended after %.3f s: %s", rep.Status, rep.After.Seconds(), rep.Err)
	}
	return fmt.Sprintf("status %d after %.3f s, %d bytes, seal %q", rep.Status, rep.After.Seconds(), len(rep.Body), rep.Seal)
}

// Exchange sends a request and reads its answer.
func (cha *Channel) Exchange(req Request) Reply {
	cha.fleet.Record.Printf("consumer sends %s: %s %s with a body of %d bytes, deadline %s", req.ID, req.Method, req.Path, len(req.Body), req.Deadline)
	begin := time.Now()
	rep := cha.exchange(req)
	rep.After = time.Since(begin)
	cha.fleet.Record.Printf("consumer gets for %s: %s", req.ID, rep)
	return rep
}

func (cha *Channel) exchange(req Request) Reply {
	wait := req.Patience
	if wait == 0 {
		wait = req.Deadline + patience
	}
	_ = cha.con.SetDeadline(time.Now().Add(wait))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nAuthorization: Token %s\r\n%s", req.Method, req.Path, RouteHost, req.ID, req.Deadline.Milliseconds(), req.Key, req.Header)
	if req.Method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(req.Body))
	}
	write := func() error {
		buffers := net.Buffers{[]byte(head + "\r\n"), req.Body}
		_, err := buffers.WriteTo(cha.con)
		return err
	}
	send := cha.Send
	if send == nil {
		send = func(write func() error) error { return write() }
	}
	if err := send(write); err != nil {
		return Reply{Err: fmt.Errorf("sending: %w", err)}
	}
	res, err := http.ReadResponse(cha.reader, &http.Request{Method: req.Method})
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = errors.New("closed without an answer")
		}
		return Reply{Err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	retryAfter, _ := time.ParseDuration(res.Header.Get("Retry-After") + "s")
	return Reply{Status: res.StatusCode, Seal: res.Header.Get("Response-Seal"), Body: string(body), RetryAfter: retryAfter, Err: err}
}
