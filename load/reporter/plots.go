package reporter

import (
	"bytes"
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

// plots draws the first-token curves of each length class and the requests in
// time over the run, with a line a report.
func plots(reps []summarizer.Report) ([]template.HTML, error) {
	var out []template.HTML
	for _, cla := range []string{mixer.ClassShort, mixer.ClassMedium, mixer.ClassLarge, mixer.ClassHuge} {
		svg, err := line("Time to first token, "+cla+" prompts", "percentile", "ms", reps, func(rep summarizer.Report) plotter.XYs { return curve(rep, cla) })
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	svg, err := line("Requests answered whole and in time", "second", "requests", reps, timeline)
	return append(out, svg), err
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

func line(title, labelX, labelY string, reps []summarizer.Report, points func(summarizer.Report) plotter.XYs) (template.HTML, error) {
	plo := plot.New()
	plo.Title.Text = title
	plo.X.Label.Text = labelX
	plo.Y.Label.Text = labelY
	plo.Y.Min = 0
	plo.Legend.Top = true
	plo.Legend.Left = true
	for ind, rep := range reps {
		pts := points(rep)
		if len(pts) == 0 {
			continue
		}
		lin, err := plotter.NewLine(pts)
		if err != nil {
			return "", eris.Wrapf(err, "line: %s", title)
		}
		lin.Color = palette[ind%len(palette)]
		plo.Add(lin)
		plo.Legend.Add(rep.Name, lin)
	}
	can := vgsvg.New(plotWidth, plotHeight)
	plo.Draw(draw.New(can))
	var buf bytes.Buffer
	if _, err := can.WriteTo(&buf); err != nil {
		return "", eris.Wrapf(err, "line: %s", title)
	}
	// The XML prologue has no place within an HTML page.
	_, txt, _ := strings.Cut(buf.String(), "<svg")
	return template.HTML("<svg" + txt), nil
}
