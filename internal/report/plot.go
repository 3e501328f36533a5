package report

import (
	"bytes"
	"errors"
	"html/template"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	// minPlotTop is the least upper end of the value axis.
	minPlotTop = 1
	// plotPoints is the number of points of one curve.
	plotPoints = 60
)

var errNoSVG = errors.New("the canvas wrote no SVG element")

// line is one curve of a plot.
type line struct {
	name   model.ClassName
	points plotter.XYs
}

// classLines computes one curve a class over the report's window. Each point
// covers the part of the window since the point before.
func (b *Burn) classLines(value func(counts *burn.Counts, objective float64) float64) []line {
	step := max(b.Window/plotPoints, time.Minute)
	var lines []line
	for _, row := range burn.SumDomains(b.snapshot) {
		l := line{name: row.Class}
		for at := b.At.Add(-b.Window + step); !at.After(b.At); at = at.Add(step) {
			counts := row.SumWindow(at, step)
			l.points = append(l.points, plotter.XY{X: float64(at.Unix()), Y: value(&counts, row.Objective)})
		}
		lines = append(lines, l)
	}
	return lines
}

// drawSVG draws the curves as an SVG element to stand in a page.
func drawSVG(title, unit string, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		curve, err := plotter.NewLine(l.points)
		if err != nil {
			return "", &Error{Part: "plot", Cause: err}
		}
		curve.Color = plotutil.Color(i)
		curve.Dashes = plotutil.Dashes(i)
		p.Add(curve)
		p.Legend.Add(string(l.name), curve)
	}
	// Curves that are zero throughout would else be drawn between -1 and 1.
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, minPlotTop)
	return renderSVG(p)
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", &Error{Part: "plot", Cause: err}
	}
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", &Error{Part: "plot", Cause: errNoSVG}
	}
	return template.HTML(out.Bytes()[start:]), nil
}
