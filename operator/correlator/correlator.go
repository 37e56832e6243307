// Package correlator extracts the log lines about one request from the logs of
// several hosts, whose clocks may differ by seconds.
package correlator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Messages of the host that serves a request: messageAccepted is in the first line
// about the request, messageEnded in the last line about each send, which is an
// attempt on one endpoint.
const (
	messageAccepted = "call accepted"
	messageEnded    = "send ended"
)

// Line is one line of a log.
type Line struct {
	Host    string
	At      time.Time
	Level   string
	Message string
	// Fields holds the remaining fields.
	Fields map[string]any
}

// parseRequestID returns the ID of the request that a line is about. The RequestID
// field of a planner's line has the form ID/SEND/...; send is then the number of the
// send. For lines of the host that serves the request, send is -1.
func (lin Line) parseRequestID() (id string, send int) {
	text, _ := lin.Fields["RequestID"].(string)
	id, rest, ok := strings.Cut(text, "/")
	if !ok {
		return id, -1
	}
	attempt, _, _ := strings.Cut(rest, "/")
	send, err := strconv.Atoi(attempt)
	if err != nil {
		return id, -1
	}
	return id, send
}

// Correlator collects the log lines about the request RequestID, which must be set.
type Correlator struct {
	RequestID string

	// servingLines holds the lines of the host that serves the request, planLines
	// those of planners by the number of the send, and stateLines the lines about no
	// request.
	servingLines []Line
	planLines    map[int][]Line
	stateLines   []Line
	skipped      int
}

// Read reads a log. host is the name of the host for lines without a Host field.
func (cor *Correlator) Read(reader io.Reader, host string) error {
	sca := bufio.NewScanner(reader)
	sca.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for sca.Scan() {
		lin, ok := parse(sca.Text(), host)
		if !ok {
			cor.skipped++
			continue
		}
		cor.add(lin)
	}
	return eris.Wrapf(sca.Err(), "Correlator.Read: log of %s", host)
}

// Skipped returns the number of lines that Read could not parse.
func (cor *Correlator) Skipped() int { return cor.skipped }

// parse parses a log line. Text before the JSON object, such as the prefix that a log
// collector adds, is ignored.
func parse(text, host string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	lin := Line{Host: host, Fields: fields}
	for name, out := range map[string]*string{"Host": &lin.Host, "level": &lin.Level, "message": &lin.Message} {
		if value, ok := fields[name].(string); ok {
			*out = value
		}
		delete(fields, name)
	}
	timestamp, _ := fields["time"].(string)
	lin.At, _ = time.Parse(time.RFC3339Nano, timestamp)
	delete(fields, "time")
	return lin, lin.Message != ""
}

// add stores a line with the lines of the serving host, of planners or about no
// request, and drops lines about other requests.
func (cor *Correlator) add(lin Line) {
	id, send := lin.parseRequestID()
	switch {
	case id == "":
		cor.stateLines = append(cor.stateLines, lin)
	case id != cor.RequestID:
	case send < 0:
		cor.servingLines = append(cor.servingLines, lin)
	default:
		if cor.planLines == nil {
			cor.planLines = map[int][]Line{}
		}
		cor.planLines[send] = append(cor.planLines[send], lin)
	}
}

// Lines returns the lines about the request in causal order, without comparing the
// hosts' clocks. The lines of the serving host are in the order of its log; the
// planner's lines for a send are inserted before the lines of that send.
func (cor *Correlator) Lines() []Line {
	var out []Line
	send := 0
	planLines := maps.Clone(cor.planLines)
	for _, lin := range cor.servingLines {
		// The call is accepted before its first send is planned.
		if lin.Message != messageAccepted {
			out = append(out, planLines[send]...)
			delete(planLines, send)
		}
		out = append(out, lin)
		if lin.Message == messageEnded {
			send++
		}
	}
	// Plans without a send of the serving host come last.
	for _, n := range slices.Sorted(maps.Keys(planLines)) {
		out = append(out, planLines[n]...)
	}
	return out
}

// StateLines returns what the hosts of the request last logged about the store, the
// tables, peers and the endpoints that the request used. For each host, message and
// subject (endpoint, field What and peer), it returns the last line read that is not
// later than the host's last line about the request.
func (cor *Correlator) StateLines() []Line {
	endpoints := map[string]bool{}
	lastAt := map[string]time.Time{}
	for _, lin := range cor.Lines() {
		if endpoint, ok := lin.Fields["Endpoint"].(string); ok {
			endpoints[endpoint] = true
		}
		if lin.At.After(lastAt[lin.Host]) {
			lastAt[lin.Host] = lin.At
		}
	}
	last := map[string]Line{}
	var keys []string
	for _, lin := range cor.stateLines {
		endpoint, _ := lin.Fields["Endpoint"].(string)
		until, ok := lastAt[lin.Host]
		if !ok || lin.At.After(until) || endpoint != "" && !endpoints[endpoint] {
			continue
		}
		subject, _ := lin.Fields["What"].(string)
		peer, _ := lin.Fields["Peer"].(string)
		key := strings.Join([]string{lin.Host, lin.Message, endpoint, subject, peer}, "\x00")
		if _, ok := last[key]; !ok {
			keys = append(keys, key)
		}
		last[key] = lin
	}
	var out []Line
	for _, key := range keys {
		out = append(out, last[key])
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// Text formats a line for display: its time, host, message and fields.
func (lin Line) Text() string {
	var bui strings.Builder
	fmt.Fprintf(&bui, "%s  %-18s %s", lin.At.Format("15:04:05.000"), lin.Host, lin.Message)
	for _, name := range slices.Sorted(maps.Keys(lin.Fields)) {
		if name == "RequestID" {
			continue
		}
		value := lin.Fields[name]
		if number, ok := value.(float64); ok {
			value = strconv.FormatFloat(number, 'f', -1, 64)
			// Milliseconds are rounded to whole numbers.
			if strings.HasSuffix(name, "Ms") {
				value = strconv.FormatFloat(number, 'f', 0, 64)
			}
		}
		if obj, ok := value.(map[string]any); ok && len(obj) == 0 {
			continue
		}
		fmt.Fprintf(&bui, "  %s=%v", name, value)
	}
	return bui.String()
}
