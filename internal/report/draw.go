package report

import (
	"bytes"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"aspenbarrow/internal/scenario"
	"aspenbarrow/internal/testcluster"
)

const (
	plotWidth        = 13 * vg.Inch
	linesHeight      = 3.2 * vg.Inch
	heatMapRowHeight = 0.065 * vg.Inch // of one backend
	heatMapMargin    = 0.8 * vg.Inch   // of title and axis
	heatMapColours   = 24
	minHeatMapRange  = 1e-9 // keeps the scale of an idle run from being empty
	legendRoom       = 0.3  // above the lines, as a share of their range
	faultLabelDrop   = 0.06 // of a fault's label below the top, as a share of the range
)

// loadGrid is the load of a run by second and backend; it implements plotter.GridXYZ.
type loadGrid struct{ o *scenario.Outcome }

// Dims returns how many seconds and backends there are.
func (g loadGrid) Dims() (seconds, backends int) {
	return len(g.o.Evenness), len(g.o.Evenness[len(g.o.Evenness)-1].Loads)
}

// X returns the middle of a second.
func (g loadGrid) X(second int) float64 { return float64(second) + 0.5 }

// Y returns the position of a backend.
func (g loadGrid) Y(backend int) float64 { return float64(backend) }

// Z returns a backend's load, or NaN while it was down.
func (g loadGrid) Z(second, backend int) float64 {
	if loads := g.o.Evenness[second].Loads; backend < len(loads) && loads[backend] >= 0 {
		return loads[backend]
	}
	return math.NaN()
}

// drawHeatMap draws the load of every backend on a scale from 0 to highest.
func drawHeatMap(o *scenario.Outcome, highest float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "backend"
	grid := loadGrid{o}
	heatMap := plotter.NewHeatMap(grid, palette.Heat(heatMapColours, 1))
	heatMap.Min, heatMap.Max, heatMap.NaN = 0, max(highest, minHeatMapRange), color.White
	p.Add(heatMap)
	_, backends := grid.Dims()
	return encodeSVG(p, vg.Length(backends)*heatMapRowHeight+heatMapMargin)
}

// drawLines draws series above the faults of a run.
func drawLines(o *scenario.Outcome, lines []series, fromZero bool) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "second"
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(10)
	least, most := valueRange(lines)
	if fromZero {
		least = 0
	}
	most += (most - least) * legendRoom
	for i := range o.Faults {
		if err := addFault(p, &o.Faults[i], least, most); err != nil {
			return "", err
		}
	}
	p.Add(plotter.NewGrid())
	for i := range lines {
		if err := addLine(p, &lines[i]); err != nil {
			return "", err
		}
	}
	p.Y.Min, p.Y.Max = least, most
	p.X.Min = 0
	return encodeSVG(p, linesHeight)
}

// valueRange returns the least and the highest value, the latter 0 at least.
func valueRange(lines []series) (least, most float64) {
	least = math.Inf(1)
	for _, s := range lines {
		for second := range s.seconds {
			most, least = max(most, s.value(second)), min(least, s.value(second))
		}
	}
	return least, most
}

// addFault marks the time of a fault.
func addFault(p *plot.Plot, f *testcluster.FaultEffect, least, most float64) error {
	began, ended := f.StartedAt.Seconds(), f.EndedAt.Seconds()
	area, err := plotter.NewPolygon(plotter.XYs{{X: began, Y: least}, {X: ended, Y: least}, {X: ended, Y: most}, {X: began, Y: most}})
	if err != nil {
		return err
	}
	area.Color, area.Width = faultColour, 0
	position := plotter.XYs{{X: began, Y: most - (most-least)*faultLabelDrop}}
	label, err := plotter.NewLabels(plotter.XYLabels{XYs: position, Labels: []string{f.Kind}})
	if err != nil {
		return err
	}
	p.Add(area, label)
	return nil
}

func addLine(p *plot.Plot, s *series) error {
	points := make(plotter.XYs, s.seconds)
	for second := range points {
		points[second].X, points[second].Y = float64(second)+0.5, s.value(second)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = s.colour, vg.Points(1.6)
	if s.dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line)
	p.Legend.Add(s.label, line)
	return nil
}

// encodeSVG returns the plot as an svg element.
func encodeSVG(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // the page has a header of its own
		text = text[i:]
	}
	return template.HTML(text), nil // made by the plot library from figures and the kinds of faults
}
