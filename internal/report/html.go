package report

import (
	_ "embed"
	"html/template"
	"io"
	"strings"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
)

//go:embed burn.gohtml
var burnPage string

var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
	"rate":    rate,
	"domain":  domainText,
	"span":    shortSpan,
	"firing":  firing,
	"causes":  burn.WasteCauses,
	"wasted":  func(s *burn.Summary, cause burn.WasteCause) uint64 { return s.Counts.Wasted[cause] },
}).Parse(burnPage))

// page is the data of the template.
type page struct {
	*Burn
	Pairs []burn.AlertRule
	Plots []template.HTML
}

// WriteHTML writes the report as one page that loads nothing from elsewhere.
func (b *Burn) WriteHTML(w io.Writer) error {
	plots, err := b.plots()
	if err != nil {
		return err
	}
	var out strings.Builder
	if err := burnTemplate.Execute(&out, page{Burn: b, Pairs: burn.AlertRules, Plots: plots}); err != nil {
		return &Error{Part: "html", Cause: err}
	}
	if _, err := io.WriteString(w, out.String()); err != nil {
		return &Error{Part: "html", Cause: err}
	}
	return nil
}

func (b *Burn) plots() ([]template.HTML, error) {
	if len(b.Classes) == 0 {
		return nil, nil
	}
	figures := []struct {
		title, unit string
		value       func(c *burn.Counts, objective float64) float64
	}{
		{"Burn rate", "times the allowed error share", burn.Rate},
		{"Judged requests", "requests", func(c *burn.Counts, _ float64) float64 { return float64(c.Total) }},
		{"Wasted tokens", "tokens", func(c *burn.Counts, _ float64) float64 { return float64(c.TotalWasted()) }},
	}
	var plots []template.HTML
	for _, f := range figures {
		svg, err := drawSVG(f.title, f.unit, b.classLines(f.value))
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	return plots, nil
}
