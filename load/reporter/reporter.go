// Package reporter writes load reports as JSON and as one self-contained HTML
// page with plots, and compares two reports.
package reporter

import (
	"encoding/json"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"strings"

	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"

	"github.com/rotisserie/eris"
)

const filePerm = 0o644

// outcomes are the outcome columns in their order.
var outcomes = []sender.Outcome{sender.Whole, sender.Late, sender.Refused, sender.Failed, sender.Broken, sender.Wrong, sender.Unreachable}

// WriteJSON writes reports as a JSON array.
func WriteJSON(path string, reps []summarizer.Report) error {
	buf, err := json.MarshalIndent(reps, "", "  ")
	if err != nil {
		return eris.Wrap(err, "WriteJSON: encode")
	}
	return eris.Wrap(os.WriteFile(path, append(buf, '\n'), filePerm), "WriteJSON")
}

// ReadJSON reads the reports that WriteJSON wrote to a file.
func ReadJSON(path string) ([]summarizer.Report, error) {
	buf, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "ReadJSON")
	}
	var reps []summarizer.Report
	err = json.Unmarshal(buf, &reps)
	return reps, eris.Wrapf(err, "ReadJSON: %s is not a load report", path)
}

type page struct {
	Title    string
	Outcomes []sender.Outcome
	Rows     []row
	Reports  []summarizer.Report
	Plots    []template.HTML
}

// WriteHTML writes reports as one HTML page, with the plots at the top.
func WriteHTML(path, title string, reps []summarizer.Report) error {
	plos, err := plots(reps)
	if err != nil {
		return err
	}
	fil, err := os.Create(filepath.Clean(path))
	if err != nil {
		return eris.Wrap(err, "WriteHTML")
	}
	defer fil.Close()
	return render(fil, page{Title: title, Outcomes: outcomes, Rows: rows(reps), Reports: reps, Plots: plos})
}

func render(wri io.Writer, pag page) error {
	return eris.Wrap(pageTemplate.Execute(wri, pag), "WriteHTML: render")
}

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(val float64) float64 { return val * 100 },
	"mega":    func(val int64) float64 { return float64(val) / (1 << 20) },
}).Parse(strings.TrimSpace(pageText)))

const pageText = `
<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:14px sans-serif;margin:2em;max-width:80em}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child{text-align:left}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>{{.Title}}</h1>
{{if .Rows}}<table><tr><th>variant</th><th>load %</th><th>policy</th><th>Wijesinghe</th><th>Port Louis</th><th>short slowdown p95</th>
<th>long slowdown p50</th><th>p95</th><th>long prompts</th><th>in time %</th><th>in time a second</th></tr>
{{range .Rows}}<tr><td>{{.Variant}}</td><td>{{.Load}}</td><td>{{.Policy}}</td><td>{{printf "%.2f" .Wijesinghe}}</td><td>{{printf "%.2f" .PortLouis}}</td>
<td>{{printf "%.2f" .ShortSlowdown}}</td><td>{{printf "%.2f" .Long.P50}}</td><td>{{printf "%.2f" .Long.P95}}</td><td>{{.Long.Count}}</td>
<td>{{printf "%.1f" (percent .InTime)}}</td><td>{{printf "%.1f" .Goodput}}</td></tr>
{{end}}</table>{{end}}
{{range .Plots}}{{.}}{{end}}
{{range $rep := .Reports}}
<h2>{{.Name}}</h2>
<p>Mix {{.Mix}}, seed {{.Seed}}, {{printf "%.1f" .Rate}} requests a second for {{.Duration}}, started {{.Started.Format "2006-01-02 15:04:05"}}.
In time: {{printf "%.2f" .Goodput}} requests a second. The machine's load average: {{printf "%.1f" .LoadAverage}}.{{if .NotSent}} Not sent: {{.NotSent}}.{{end}}</p>
<table><tr><th>class</th><th>requests</th>{{range $.Outcomes}}<th>{{.}}</th>{{end}}<th>in time %</th>
<th>first token p50 ms</th><th>p95</th><th>p99</th><th>between tokens p50 ms</th><th>p95</th><th>total p95 ms</th></tr>
{{range $cla := .Classes}}<tr><td>{{.Name}}</td><td>{{.Count}}</td>
{{range $.Outcomes}}<td>{{index $cla.Outcomes .}}</td>{{end}}
<td>{{printf "%.1f" (percent .InTime)}}</td><td>{{printf "%.1f" .First.P50}}</td><td>{{printf "%.1f" .First.P95}}</td><td>{{printf "%.1f" .First.P99}}</td>
<td>{{printf "%.1f" .Gap.P50}}</td><td>{{printf "%.1f" .Gap.P95}}</td><td>{{printf "%.1f" .Total.P95}}</td></tr>
{{end}}</table>
{{with .Parts}}<p>{{.Placement.Count}} traced large and huge prompts: wait for an engine p50 {{printf "%.0f" .Placement.P50}} ms, p95 {{printf "%.0f" .Placement.P95}} ms;
from the grant to the first token p50 {{printf "%.0f" .Rest.P50}} ms, p95 {{printf "%.0f" .Rest.P95}} ms, over idle engines p50 {{printf "%.2f" .Slowdown.P50}}, p95 {{printf "%.2f" .Slowdown.P95}}.</p>{{end}}
{{if .Codes}}<table><tr><th>outcome and code</th><th>requests</th></tr>
{{range $code, $count := .Codes}}<tr><td>{{$code}}</td><td>{{$count}}</td></tr>{{end}}</table>{{end}}
{{if .Hosts}}<table><tr><th>host</th><th>% of a core</th><th>memory MB</th><th>peer bytes a second</th><th>endpoint bytes a second</th><th>platform bytes a second</th><th>platform calls an hour</th></tr>
{{range .Hosts}}<tr><td>{{.Host}}</td><td>{{printf "%.2f" .CorePercent}}</td><td>{{printf "%.1f" (mega .MemoryBytes)}}</td><td>{{printf "%.0f" .PeerBytesPerSecond}}</td><td>{{printf "%.0f" .EndpointBytesPerSecond}}</td><td>{{printf "%.0f" .PlatformBytesPerSecond}}</td><td>{{printf "%.0f" .PlatformCallsPerHour}}</td></tr>{{end}}</table>{{end}}
{{end}}
</body></html>
`
