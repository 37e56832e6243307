package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/process/configurer"
	"hemlockpin/request/responder"
	"hemlockpin/version/parser"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

const (
	edgeTimeout = 5 * time.Second
	edgeKey     = "key-tailors"
	edgeModel   = "pedal-model"
)

func edgeTables() parser.Tables {
	return parser.Tables{
		Revision: 1,
		Routes: []parser.Route{
			{Name: "questions", Match: parser.Match{Model: edgeModel}, Pool: "pedal", TimeLimit: parser.Duration(time.Second)},
			{Name: "bookings", Match: parser.Match{PathPrefix: "/bookings"}, Pool: "counter", TimeLimit: parser.Duration(time.Second), Repeatable: true},
		},
		Pools: []parser.Pool{
			{Name: "pedal", Kind: parser.PoolEngine, Selector: parser.Selector{Service: edgeModel}},
			{Name: "counter", Kind: parser.PoolService, Selector: parser.Selector{Service: "counter"}},
		},
		Teams: []parser.Team{{Name: "tailors", KeyDigests: []string{parser.DigestKey(edgeKey)}}},
	}
}

func edgeSettings() configurer.Settings {
	var set configurer.Settings
	set.HostID = "host-0"
	set.Placement = "random"
	set.Limits = configurer.Limits{
		MaxBodyBytes: 4000, MaxBodyMemory: 1 << 20, MaxHeader: 8192, MaxConns: 100, MaxRequests: 100,
		ReadTimeout: 300 * time.Millisecond, WriteTimeout: 300 * time.Millisecond, IdleTimeout: time.Second,
	}
	return set
}

// startEdge serves the callers' routes of a host without endpoints; han replaces the
// routes if it is not nil.
func startEdge(t *testing.T, set configurer.Settings, han http.Handler) (ser *Server, address string) {
	t.Helper()
	ser = New(set, zerolog.Nop(), 1, time.Now())
	ser.publisher.Adopt(edgeTables())
	if han == nil {
		han = ser.callerRoutes()
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := ser.callerServer(ser.edge(han))
	go srv.Serve(&acceptor.Listener{Listener: lis, Max: int64(set.MaxConns), Refused: tally.NoopScope.Counter("")})
	t.Cleanup(func() { srv.Close() })
	return ser, lis.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	con, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { con.Close() })
	require.NoError(t, con.SetDeadline(time.Now().Add(edgeTimeout)))
	return con
}

// answer reads one answer and returns its status, error type, code and run header.
func answer(t *testing.T, rea *bufio.Reader) string {
	t.Helper()
	res, err := http.ReadResponse(rea, nil)
	if err != nil {
		return "closed without an answer\n"
	}
	defer res.Body.Close()
	var bod struct {
		Error struct{ Type, Code string }
	}
	// After a header that is too long the connection may be reset, so an error is ignored.
	text, _ := io.ReadAll(res.Body)
	_ = json.Unmarshal(text, &bod)
	return strings.Join(strings.Fields(fmt.Sprintln(res.StatusCode, bod.Error.Type, bod.Error.Code, res.Header.Get(responder.RunHeader))), " ") + "\n"
}

// TestEdge checks the answers to malformed, oversized, unauthorised and slow raw requests;
// none may crash or block the host. In testdata/edge BODY(n) stands for a prompt of n
// bytes, LENGTH for the length of the body, KEY for a key of a team, LONG for 13,000
// bytes, \r and \x00 for these control characters.
func TestEdge(t *testing.T) {
	_, addr := startEdge(t, edgeSettings(), nil)
	datadriven.RunTest(t, "testdata/edge", func(t *testing.T, dat *datadriven.TestData) string {
		con := dial(t, addr)
		_, err := con.Write(rawRequest(dat.Input))
		require.NoError(t, err)
		if dat.HasArg("half-close") {
			require.NoError(t, con.(*net.TCPConn).CloseWrite())
		}
		return answer(t, bufio.NewReader(con))
	})
}

func rawRequest(text string) []byte {
	header, body, _ := strings.Cut(text, "\n\n")
	var size int
	if _, err := fmt.Sscanf(body, "BODY(%d)", &size); err == nil {
		body = promptBody(size)
	}
	if strings.Contains(header, "chunked") {
		body = strings.ReplaceAll(body, "\n", "\r\n") + "\r\n\r\n"
	}
	header = strings.NewReplacer("\n", "\r\n", "LENGTH", fmt.Sprint(len(body)), "KEY", "Bearer "+edgeKey, `\r`, "\r", `\x00`, "\x00", "LONG", strings.Repeat("y", 13_000)).Replace(header)
	return []byte(header + "\r\n\r\n" + body)
}

// promptBody returns a prompt of exactly size bytes.
func promptBody(size int) string {
	head, end := `{"model":"`+edgeModel+`","max_tokens":1,"prompt":"`, `"}`
	return head + strings.Repeat("x", max(size-len(head)-len(end), 1)) + end
}

// TestSlowSender sends only a part of a body, and then only a part of a header: both are
// refused after the read timeout.
func TestSlowSender(t *testing.T) {
	_, addr := startEdge(t, edgeSettings(), nil)
	con := dial(t, addr)
	fmt.Fprintf(con, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", edgeKey)
	require.Equal(t, "408 invalid_request_error body_too_slow NotRun\n", answer(t, bufio.NewReader(con)))
	con = dial(t, addr)
	fmt.Fprint(con, "POST /v1/completions HTTP/1.1\r\nHost")
	require.Equal(t, "400\n", answer(t, bufio.NewReader(con)))
}

// TestSlowReader does not read a long answer: the host has to abort writing it after the
// write timeout.
func TestSlowReader(t *testing.T) {
	writeErr := make(chan error, 1)
	_, addr := startEdge(t, edgeSettings(), http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		buf := bytes.Repeat([]byte("x"), 1<<20)
		for {
			if _, err := wri.Write(buf); err != nil {
				writeErr <- err
				return
			}
		}
	}))
	con := dial(t, addr)
	fmt.Fprint(con, "GET /slots HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-writeErr:
		require.ErrorContains(t, err, "timeout")
	case <-time.After(edgeTimeout):
		require.Fail(t, "the host still waits for the reader")
	}
}

// TestLongStream checks that an answer may take longer than the read timeout, which
// bounds only the reading of the request.
func TestLongStream(t *testing.T) {
	set := edgeSettings()
	_, addr := startEdge(t, set, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		for range 5 {
			fmt.Fprintln(wri, "token")
			_ = http.NewResponseController(wri).Flush()
			select {
			case <-time.After(set.ReadTimeout / 2):
			case <-req.Context().Done():
				return
			}
		}
	}))
	res, err := http.Post("http://"+addr+"/", "text/plain", strings.NewReader("hum"))
	require.NoError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, strings.Repeat("token\n", 5), string(text))
}

// TestConnectionLimit opens more connections than allowed: a further connection is
// refused until an open connection is closed.
func TestConnectionLimit(t *testing.T) {
	set := edgeSettings()
	set.MaxConns = 2
	set.IdleTimeout = time.Minute
	set.ReadTimeout = time.Minute
	_, addr := startEdge(t, set, nil)
	var cons []net.Conn
	for range set.MaxConns {
		con := dial(t, addr)
		fmt.Fprint(con, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Equal(t, "200\n", answer(t, bufio.NewReader(con)))
		cons = append(cons, con)
	}
	con := dial(t, addr)
	fmt.Fprint(con, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	require.Equal(t, "503 server_error host_full NotRun\n", answer(t, bufio.NewReader(con)))
	cons[0].Close()
	require.Eventually(t, func() bool {
		con := dial(t, addr)
		fmt.Fprint(con, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		return answer(t, bufio.NewReader(con)) == "200\n"
	}, edgeTimeout, 10*time.Millisecond)
}

// TestBodyMemory announces bodies that need more memory than the host may use: the
// request beyond the limit is refused, and a closed connection releases its memory.
func TestBodyMemory(t *testing.T) {
	set := edgeSettings()
	set.MaxBodyMemory = 10_000
	set.ReadTimeout = time.Minute
	ser, addr := startEdge(t, set, nil)
	hold := dial(t, addr)
	fmt.Fprintf(hold, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 3000\r\n\r\n{", edgeKey)
	// Three times the announced length is reserved for a body.
	require.Eventually(t, func() bool { return ser.bodyMemory.Reserved() == 9000 }, edgeTimeout, time.Millisecond)
	con := dial(t, addr)
	con.Write(rawRequest("POST /v1/completions HTTP/1.1\nHost: x\nAuthorization: KEY\nContent-Length: LENGTH\n\nBODY(1000)"))
	require.Equal(t, "503 server_error host_memory_full NotRun\n", answer(t, bufio.NewReader(con)))
	hold.Close()
	require.Eventually(t, func() bool { return ser.bodyMemory.Reserved() == 0 }, edgeTimeout, time.Millisecond)
}

// TestUnauthorizedBody announces a large body without a key: the request is refused
// before the body is requested or memory is reserved for it.
func TestUnauthorizedBody(t *testing.T) {
	ser, addr := startEdge(t, edgeSettings(), nil)
	con := dial(t, addr)
	fmt.Fprint(con, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\nExpect: 100-continue\r\n\r\n")
	rea := bufio.NewReader(con)
	require.Equal(t, "401 authentication_error invalid_api_key NotRun\n", answer(t, rea))
	require.Zero(t, ser.bodyMemory.Reserved())
}

// TestKeptConnection sends requests on a kept connection after the write deadline of an
// earlier request has passed: the old deadline must not apply to them.
func TestKeptConnection(t *testing.T) {
	set := edgeSettings()
	set.IdleTimeout = time.Minute
	set.ReadTimeout = time.Minute
	_, addr := startEdge(t, set, nil)
	con := dial(t, addr)
	rea := bufio.NewReader(con)
	fmt.Fprint(con, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
	require.Equal(t, "401 authentication_error invalid_api_key NotRun\n", answer(t, rea))
	for range 2 {
		time.Sleep(set.WriteTimeout + set.WriteTimeout/2)
		fmt.Fprint(con, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Equal(t, "200\n", answer(t, rea))
	}
}

// TestReady checks the reasons that a host gives for not being ready.
func TestReady(t *testing.T) {
	ser, addr := startEdge(t, edgeSettings(), nil)
	tts := []struct {
		name   string
		change func()
		want   string
	}{
		{"alone", func() {}, "joined"},
		{"draining", func() { ser.draining.Store(true) }, "drains"},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			tt.change()
			res, err := http.Get("http://" + addr + "/readyz")
			require.NoError(t, err)
			defer res.Body.Close()
			text, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
			require.Contains(t, string(text), tt.want)
		})
	}
}
