// Package correlator finds what happened to one request in the logs of several
// hosts, whose clocks may differ by seconds.
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

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Messages whose order is known.
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
	// Fields are the others.
	Fields map[string]any
}

// request returns the request that a line is about, and the send for which a
// planner's line was written; -1 for lines of the host that serves the request.
func (lin Line) request() (id string, send int) {
	txt, _ := lin.Fields["RequestID"].(string)
	id, res, ok := strings.Cut(txt, "/")
	if !ok {
		return id, -1
	}
	num, _, _ := strings.Cut(res, "/")
	send, err := strconv.Atoi(num)
	if err != nil {
		return id, -1
	}
	return id, send
}

// Correlator collects lines. Its zero value needs a Request.
type Correlator struct {
	RequestID string

	serving []Line
	planned map[int][]Line
	beliefs []Line
	skipped int
}

// Read takes a log. host names the host of lines that don't name theirs.
func (cor *Correlator) Read(rea io.Reader, host string) error {
	sca := bufio.NewScanner(rea)
	sca.Buffer(make([]byte, 0, 64<<10), maxLine)
	for sca.Scan() {
		lin, ok := parse(sca.Text(), host)
		if !ok {
			cor.skipped++
			continue
		}
		cor.take(lin)
	}
	return eris.Wrapf(sca.Err(), "Correlator.Read: log of %s", host)
}

// Skipped counts the lines that are no log lines.
func (cor *Correlator) Skipped() int { return cor.skipped }

// parse reads a line. What stands before its object, such as the prefix of a log
// collector, is passed over.
func parse(txt, host string) (Line, bool) {
	beg := strings.IndexByte(txt, '{')
	if beg < 0 {
		return Line{}, false
	}
	fies := map[string]any{}
	if err := json.Unmarshal([]byte(txt[beg:]), &fies); err != nil {
		return Line{}, false
	}
	lin := Line{Host: host, Fields: fies}
	for nam, out := range map[string]*string{"Host": &lin.Host, "level": &lin.Level, "message": &lin.Message} {
		if val, ok := fies[nam].(string); ok {
			*out = val
		}
		delete(fies, nam)
	}
	tim, _ := fies["time"].(string)
	lin.At, _ = time.Parse(time.RFC3339Nano, tim)
	delete(fies, "time")
	return lin, lin.Message != ""
}

func (cor *Correlator) take(lin Line) {
	id, send := lin.request()
	switch {
	case id == "":
		cor.beliefs = append(cor.beliefs, lin)
	case id != cor.RequestID:
	case send < 0:
		cor.serving = append(cor.serving, lin)
	default:
		if cor.planned == nil {
			cor.planned = map[int][]Line{}
		}
		cor.planned[send] = append(cor.planned[send], lin)
	}
}

// Lines returns the lines of the request in the order of cause: those of the host
// that served it as it wrote them, and before each send the plan for it.
func (cor *Correlator) Lines() []Line {
	var out []Line
	send := 0
	planned := maps.Clone(cor.planned)
	for _, lin := range cor.serving {
		if lin.Message != messageAccepted {
			out = append(out, planned[send]...)
			delete(planned, send)
		}
		out = append(out, lin)
		if lin.Message == messageEnded {
			send++
		}
	}
	for _, num := range slices.Sorted(maps.Keys(planned)) {
		out = append(out, planned[num]...)
	}
	return out
}

// Beliefs returns what the hosts of the request last wrote, before it ended, about
// the store, the tables, peers and the endpoints that the request met.
func (cor *Correlator) StateLines() []Line {
	ends := map[string]bool{}
	last := map[string]time.Time{}
	for _, lin := range cor.Lines() {
		if end, ok := lin.Fields["Endpoint"].(string); ok {
			ends[end] = true
		}
		if lin.At.After(last[lin.Host]) {
			last[lin.Host] = lin.At
		}
	}
	newest := map[string]Line{}
	var keys []string
	for _, lin := range cor.beliefs {
		end, _ := lin.Fields["Endpoint"].(string)
		until, ok := last[lin.Host]
		if !ok || lin.At.After(until) || end != "" && !ends[end] {
			continue
		}
		what, _ := lin.Fields["What"].(string)
		peer, _ := lin.Fields["Peer"].(string)
		key := strings.Join([]string{lin.Host, lin.Message, end, what, peer}, "\x00")
		if _, ok := newest[key]; !ok {
			keys = append(keys, key)
		}
		newest[key] = lin
	}
	var out []Line
	for _, key := range keys {
		out = append(out, newest[key])
	}
	slices.SortStableFunc(out, func(one, two Line) int { return one.At.Compare(two.At) })
	return out
}

// Text formats a line for a person: its time, host, message and fields.
func (lin Line) Text() string {
	var bui strings.Builder
	fmt.Fprintf(&bui, "%s  %-18s %s", lin.At.Format("15:04:05.000"), lin.Host, lin.Message)
	for _, nam := range slices.Sorted(maps.Keys(lin.Fields)) {
		if nam == "RequestID" {
			continue
		}
		val := lin.Fields[nam]
		if num, ok := val.(float64); ok {
			val = strconv.FormatFloat(num, 'f', -1, 64)
			if strings.HasSuffix(nam, "Ms") {
				val = strconv.FormatFloat(num, 'f', 0, 64)
			}
		}
		if obj, ok := val.(map[string]any); ok && len(obj) == 0 {
			continue
		}
		fmt.Fprintf(&bui, "  %s=%v", nam, val)
	}
	return bui.String()
}
