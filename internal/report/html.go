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
	"percent": formatPercent,
	"rate":    formatRate,
	"domain":  formatDomain,
	"span":    formatDuration,
	"firing":  formatFiring,
	"causes":  burn.WasteCauses,
	"wasted":  func(s *burn.Summary, cause burn.WasteCause) uint64 { return s.Counts.Wasted[cause] },
}).Parse(burnPage))

// pageData is the data of the template burn.gohtml.
type pageData struct {
	*Burn
	Rules []burn.AlertRule
	Plots []template.HTML
}

// WriteHTML writes the report as one self-contained page that loads no external
// resources.
func (b *Burn) WriteHTML(w io.Writer) error {
	plots, err := b.plots()
	if err != nil {
		return err
	}
	var out strings.Builder
	if err := burnTemplate.Execute(&out, pageData{Burn: b, Rules: burn.AlertRules, Plots: plots}); err != nil {
		return &Error{Part: "html", Cause: err}
	}
	if _, err := io.WriteString(w, out.String()); err != nil {
		return &Error{Part: "html", Cause: err}
	}
	return nil
}

// plots draws the plots of the page. It returns none if there are no classes.
func (b *Burn) plots() ([]template.HTML, error) {
	if len(b.Classes) == 0 {
		return nil, nil
	}
	specs := []struct {
		title, unit string
		value       func(c *burn.Counts, objective float64) float64
	}{
		{"Burn rate", "times the allowed error share", burn.Rate},
		{"Judged requests", "requests", func(c *burn.Counts, _ float64) float64 { return float64(c.Total) }},
		{"Wasted tokens", "tokens", func(c *burn.Counts, _ float64) float64 { return float64(c.TotalWasted()) }},
	}
	var plots []template.HTML
	for _, s := range specs {
		svg, err := drawSVG(s.title, s.unit, b.classSeries(s.value))
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	return plots, nil
}
