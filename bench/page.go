package bench

import (
	"bytes"
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Page renders docs/POLICY.md from the rows.
func Page(rows []Row) string {
	var b bytes.Buffer
	b.WriteString("# Comparison of placement policies\n\nFor each deployment, one seeded trace is replayed in virtual time under ten fault scenarios; the results are\nidentical on every machine. TTFT is the time to first token: of all prompts, of look-ups, and of small\naccounts, which are all but the largest one. Token gap is the time between two tokens. Recomputed is the share\nof returning prompts' tokens that an earlier prompt of the same history had and that were computed again.\nCalm: no fault. Slow link: the first worker's link has a tenth of its bandwidth. Weights rollout: the weights'\nversion changes, two workers at a time. Cache events lost: agents lose the record of what their engine caches,\nonce a minute. The conclusions are in docs/design/placement.md.\n\nRegenerate this page with `go test ./bench -run TestPage -update`.\n\n![Time to first token, p95](policy.svg)\n\n")
	Print(&b, rows)
	b.WriteString("\n## Results against the targets\n\n")
	writeTargets(&b, rows)
	return b.String()
}

// Targets of the comparison; recomputedTargetRatio is relative to the oracle.
const (
	firstTokenTargetMS    = 1200
	gapTargetMS           = 80
	recomputedTargetRatio = 1.15
)

// writeTargets writes a table that compares the row of our policy under each fault with the
// stated targets.
func writeTargets(b *bytes.Buffer, rows []Row) {
	b.WriteString("| deployment | fault | TTFT p95 <= 1.2 s | token gap p95 <= 80 ms | recomputed <= 1.15 × oracle | recomputed less than every baseline |\n| --- | --- | --- | --- | --- | --- |\n")
	find := func(r Row, policy string) Row {
		for _, o := range rows {
			if o.Deployment == r.Deployment && o.Fault == r.Fault && o.Policy == policy {
				return o
			}
		}
		return Row{}
	}
	for _, r := range rows {
		if r.Policy != Policies[0] {
			continue
		}
		oracle := find(r, "oracle")
		below := "holds"
		for _, baseline := range Policies[3:] {
			if o := find(r, baseline); r.RecomputedShare >= o.RecomputedShare {
				below = "**red**: " + baseline + fmt.Sprintf(" %.3f", o.RecomputedShare)
			}
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", r.Deployment, r.Fault,
			targetStatus(float64(r.FirstTokenP95.Milliseconds()) <= firstTokenTargetMS), targetStatus(float64(r.Gap.Milliseconds()) <= gapTargetMS),
			targetStatus(r.RecomputedShare <= recomputedTargetRatio*oracle.RecomputedShare), below)
	}
}

func targetStatus(ok bool) string {
	if ok {
		return "holds"
	}
	return "**red**"
}

// Plot renders the p95 time to first token as an SVG bar chart with a bar for each policy,
// grouped by fault.
func Plot(rows []Row, deployment string) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Time to first token, p95, " + deployment
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	const barWidth = 7
	colors := []color.Color{
		color.RGBA{R: 20, G: 90, B: 160, A: 255}, color.RGBA{R: 60, G: 160, B: 90, A: 255}, color.Gray{Y: 90}, color.Gray{Y: 120},
		color.Gray{Y: 150}, color.Gray{Y: 180}, color.Gray{Y: 210},
	}
	var names []string
	for i, policy := range Policies {
		var values plotter.Values
		names = nil
		for _, r := range rows {
			if r.Deployment == deployment && r.Policy == policy {
				values = append(values, float64(r.FirstTokenP95.Milliseconds()))
				names = append(names, r.Fault)
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Color, bars.LineStyle.Width, bars.Offset = colors[i], 0, vg.Points(float64(i-3)*barWidth)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.4
	w, err := p.WriterTo(28*vg.Centimeter, 12*vg.Centimeter, "svg")
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	_, err = w.WriteTo(&out)
	return out.Bytes(), err
}
