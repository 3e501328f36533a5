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
	// minPlotMax is the lowest maximum of the value axis.
	minPlotMax = 1
	// plotPoints is the number of points of a curve, unless the window is too
	// short for points at least a minute apart.
	plotPoints = 60
)

var errNoSVG = errors.New("plot canvas wrote no <svg> element")

// series has the points of one curve of a plot.
type series struct {
	name   model.ClassName
	points plotter.XYs
}

// classSeries computes one curve for each class over the report's window, from
// the sum over the failure domains. Each point covers the time since the
// previous point.
func (b *Burn) classSeries(value func(counts *burn.Counts, objective float64) float64) []series {
	step := max(b.Window/plotPoints, time.Minute)
	var all []series
	for _, row := range burn.SumDomains(b.snapshot) {
		s := series{name: row.Class}
		for at := b.At.Add(-b.Window + step); !at.After(b.At); at = at.Add(step) {
			counts := row.SumWindow(at, step)
			s.points = append(s.points, plotter.XY{X: float64(at.Unix()), Y: value(&counts, row.Objective)})
		}
		all = append(all, s)
	}
	return all
}

// drawSVG draws the curves as an SVG element that can be embedded in a page.
func drawSVG(title, unit string, curves []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range curves {
		curve, err := plotter.NewLine(s.points)
		if err != nil {
			return "", &Error{Part: "plot", Cause: err}
		}
		curve.Color = plotutil.Color(i)
		curve.Dashes = plotutil.Dashes(i)
		p.Add(curve)
		p.Legend.Add(string(s.name), curve)
	}
	// Without these bounds the axis of curves that are zero throughout would
	// reach from -1 to 1.
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, minPlotMax)
	return renderSVG(p)
}

// renderSVG returns the SVG element of a plot, without the XML header.
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
