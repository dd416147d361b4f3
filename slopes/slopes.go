// Package slopes measures how the cost of each role grows with the size of the system and
// extrapolates it to the size planned for two years ahead.
//
// It owns the measurements, the linear fits and the tables of docs/CAPACITY.md. The recorded
// figures are those of the machine that measured them; the test compares the page with the
// recorded figures and sets no limit on any time.
package slopes

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a quantity measured at several sizes.
type Series struct {
	// Name is a single word, Variable names the size that varies, Unit the measured quantity.
	Name     string  `json:"name"`
	Variable string  `json:"of"`
	Unit     string  `json:"unit"`
	Points   []Point `json:"points"`
}

// Fit returns the least-squares line through the points.
func (s Series) Fit() (base, slope float64) {
	n := float64(len(s.Points))
	var x, y, xx, xy float64
	for _, p := range s.Points {
		x += p.Size
		y += p.Value
		xx += p.Size * p.Size
		xy += p.Size * p.Value
	}
	det := n*xx - x*x
	if det == 0 {
		return y / max(n, 1), 0
	}
	slope = (n*xy - x*y) / det
	return (y - slope*x) / n, slope
}

// At returns the fitted value at a size, never below zero.
func (s Series) At(size float64) float64 {
	base, slope := s.Fit()
	return math.Max(0, base+slope*size)
}

// Data holds all series of one measurement run.
type Data struct {
	Machine      string            `json:"machine"`
	SeriesByName map[string]Series `json:"slopes"`
}

// Encode returns the contents of the data file.
func (d Data) Encode() ([]byte, error) { return json.MarshalIndent(d, "", "  ") }

// Points renders the points and the fits of the series as a Markdown table, in the given order.
func (d Data) Points(order []string) string {
	var b strings.Builder
	b.WriteString("| measured | points (size: value) | fit |\n| --- | --- | --- |\n")
	for _, name := range order {
		s, ok := d.SeriesByName[name]
		if !ok {
			continue
		}
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %s", p.Size, formatValue(p.Value)))
		}
		base, slope := s.Fit()
		fmt.Fprintf(&b, "| %s, %s by %s | %s | %s + %s × %s |\n", name, s.Unit, s.Variable, strings.Join(points, ", "), formatValue(base), formatValue(slope), s.Variable)
	}
	return b.String()
}

func formatValue(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0"
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// Row is one figure at the planned size.
type Row struct {
	Role, Figure string
	Value        float64
	Unit         string
	// Target is the stated upper limit; zero if none is stated.
	Target    float64
	Mechanism string
	// Remedy says what to change so that the figure meets its target; for rows that miss it.
	Remedy string
}

func (r Row) missesTarget() bool { return r.Target > 0 && r.Value > r.Target }

// Rows renders the figures as a Markdown table.
func Rows(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | figure at the planned size | extrapolated | target | result | mechanism |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		target, verdict := "none stated", ""
		if r.Target > 0 {
			target, verdict = formatValue(r.Target)+" "+r.Unit, "holds"
		}
		mechanism := r.Mechanism
		if r.missesTarget() {
			verdict = "**red**"
			mechanism += "; would meet the target with: " + r.Remedy
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.Figure, formatValue(r.Value), r.Unit, target, verdict, mechanism)
	}
	return b.String()
}
