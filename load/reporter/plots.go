package reporter

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"hemlockpin/load/mixer"
	"hemlockpin/load/summarizer"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
	color.RGBA{R: 0xe3, G: 0x77, B: 0xc2, A: 0xff},
	color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

// drawing is one plot with a line a report.
type drawing struct {
	title  string
	labelX string
	labelY string
	// logarithmic sets both axes.
	logarithmic bool
	points      func(summarizer.Report) plotter.XYs
}

// plots draws, for the reports of each load and variant, the time to the first
// token by length and by percentile and the requests in time over the run.
func plots(reps []summarizer.Report) ([]template.HTML, error) {
	var out []template.HTML
	for _, gro := range groups(reps) {
		for _, dra := range drawings(groupTitle(gro[0])) {
			svg, err := dra.draw(gro)
			if err != nil {
				return nil, err
			}
			out = append(out, svg)
		}
	}
	return out, nil
}

// groups puts the reports of one load and variant together.
func groups(reps []summarizer.Report) [][]summarizer.Report {
	var out [][]summarizer.Report
	index := map[summarizer.Cell]int{}
	for _, rep := range reps {
		key := rep.Cell
		key.Policy = ""
		ind, ok := index[key]
		if !ok {
			ind = len(out)
			index[key] = ind
			out = append(out, nil)
		}
		out[ind] = append(out[ind], rep)
	}
	return out
}

func groupTitle(rep summarizer.Report) string {
	if rep.Cell.Variant == "" {
		return ""
	}
	return fmt.Sprintf(" (%d %%, %s)", rep.Cell.Load, rep.Cell.Variant)
}

func drawings(group string) []drawing {
	out := []drawing{{
		title: "Time to first token by length, p95" + group, labelX: "prompt tokens", labelY: "ms", logarithmic: true, points: byLength,
	}}
	for _, cla := range []string{mixer.ClassShort, mixer.ClassMedium, mixer.ClassLarge, mixer.ClassHuge} {
		out = append(out, drawing{
			title: "Time to first token, " + cla + " prompts" + group, labelX: "percentile", labelY: "ms",
			points: func(rep summarizer.Report) plotter.XYs { return curve(rep, cla) },
		})
	}
	return append(out, drawing{title: "Requests answered whole and in time" + group, labelX: "second", labelY: "requests", points: timeline})
}

func byLength(rep summarizer.Report) plotter.XYs {
	var pts plotter.XYs
	for _, len := range rep.Lengths {
		pts = append(pts, plotter.XY{X: len.Tokens, Y: len.P95})
	}
	return pts
}

func curve(rep summarizer.Report, name string) plotter.XYs {
	cla, ok := rep.Class(name)
	if !ok || cla.First.Count == 0 {
		return nil
	}
	var pts plotter.XYs
	for ind, val := range cla.First.Curve {
		pts = append(pts, plotter.XY{X: summarizer.CurveQuantiles[ind], Y: val})
	}
	return pts
}

func timeline(rep summarizer.Report) plotter.XYs {
	var pts plotter.XYs
	for ind, sec := range rep.Timeline {
		pts = append(pts, plotter.XY{X: float64(ind), Y: float64(sec.InTime)})
	}
	return pts
}

func (dra drawing) plot() *plot.Plot {
	plo := plot.New()
	plo.Title.Text = dra.title
	plo.X.Label.Text = dra.labelX
	plo.Y.Label.Text = dra.labelY
	plo.Legend.Top = true
	plo.Legend.Left = true
	if !dra.logarithmic {
		plo.Y.Min = 0
		return plo
	}
	plo.X.Scale, plo.Y.Scale = plot.LogScale{}, plot.LogScale{}
	plo.X.Tick.Marker, plo.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	return plo
}

func (dra drawing) draw(reps []summarizer.Report) (template.HTML, error) {
	plo := dra.plot()
	drawn := false
	for ind, rep := range reps {
		pts := dra.points(rep)
		if len(pts) == 0 {
			continue
		}
		lin, err := plotter.NewLine(pts)
		if err != nil {
			return "", eris.Wrapf(err, "drawing.draw: %s", dra.title)
		}
		drawn = true
		lin.Color = palette[ind%len(palette)]
		plo.Add(lin)
		plo.Legend.Add(rep.Name, lin)
	}
	if !drawn {
		return "", nil
	}
	can := vgsvg.New(plotWidth, plotHeight)
	plo.Draw(draw.New(can))
	var buf bytes.Buffer
	if _, err := can.WriteTo(&buf); err != nil {
		return "", eris.Wrapf(err, "drawing.draw: %s", dra.title)
	}
	// The XML prologue has no place within an HTML page.
	_, txt, _ := strings.Cut(buf.String(), "<svg")
	return template.HTML("<svg" + txt), nil
}
