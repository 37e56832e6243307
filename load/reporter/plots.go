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

// drawing is a plot with one line per report.
type drawing struct {
	title  string
	labelX string
	labelY string
	// logarithmic makes both axes logarithmic.
	logarithmic bool
	points      func(summarizer.Report) plotter.XYs
}

// plots draws for the reports of each load and variant: the time to the first
// token by length and by percentile, and the requests answered in time over the
// run.
func plots(reps []summarizer.Report) ([]template.HTML, error) {
	var out []template.HTML
	for _, group := range groups(reps) {
		for _, dra := range drawings(groupTitle(group[0])) {
			svg, err := dra.draw(group)
			if err != nil {
				return nil, err
			}
			out = append(out, svg)
		}
	}
	return out, nil
}

// groups groups reports by load and variant.
func groups(reps []summarizer.Report) [][]summarizer.Report {
	var out [][]summarizer.Report
	index := map[summarizer.Cell]int{}
	for _, rep := range reps {
		key := rep.Cell
		key.Policy = ""
		i, ok := index[key]
		if !ok {
			i = len(out)
			index[key] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], rep)
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
		title: "Time to first token by length, p95" + group, labelX: "prompt tokens", labelY: "ms", logarithmic: true, points: lengthPoints,
	}}
	for _, cla := range []string{mixer.ClassShort, mixer.ClassMedium, mixer.ClassLarge, mixer.ClassHuge} {
		out = append(out, drawing{
			title: "Time to first token, " + cla + " prompts" + group, labelX: "percentile", labelY: "ms",
			points: func(rep summarizer.Report) plotter.XYs { return percentilePoints(rep, cla) },
		})
	}
	return append(out, drawing{title: "Requests answered completely and in time" + group, labelX: "second", labelY: "requests", points: inTimePoints})
}

func lengthPoints(rep summarizer.Report) plotter.XYs {
	var points plotter.XYs
	for _, length := range rep.Lengths {
		points = append(points, plotter.XY{X: length.Tokens, Y: length.P95})
	}
	return points
}

func percentilePoints(rep summarizer.Report, name string) plotter.XYs {
	cla, ok := rep.Class(name)
	if !ok || cla.First.Count == 0 {
		return nil
	}
	var points plotter.XYs
	for i, val := range cla.First.Curve {
		points = append(points, plotter.XY{X: summarizer.CurveQuantiles[i], Y: val})
	}
	return points
}

func inTimePoints(rep summarizer.Report) plotter.XYs {
	var points plotter.XYs
	for i, sec := range rep.Timeline {
		points = append(points, plotter.XY{X: float64(i), Y: float64(sec.InTime)})
	}
	return points
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
	for i, rep := range reps {
		points := dra.points(rep)
		if len(points) == 0 {
			continue
		}
		lin, err := plotter.NewLine(points)
		if err != nil {
			return "", eris.Wrapf(err, "drawing.draw: %s", dra.title)
		}
		drawn = true
		lin.Color = palette[i%len(palette)]
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
	// The XML prologue is not valid within an HTML page.
	_, body, _ := strings.Cut(buf.String(), "<svg")
	return template.HTML("<svg" + body), nil
}
