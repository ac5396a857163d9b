package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"aspenbarrow/internal/rehearsal"
)

const (
	wide = 13 * vg.Inch
	high = 3.2 * vg.Inch
	cell = 0.065 * vg.Inch // of a backend in the heat map
)

// Colours that differ in lightness as well, for who sees few of them.
var (
	lineColours = []color.Color{color.RGBA{0x0b, 0x3c, 0x8c, 0xff}, color.RGBA{0xd5, 0x6a, 0x00, 0xff}}
	hashColour  = color.RGBA{0x88, 0x88, 0x88, 0xff}
	faultColour = color.RGBA{0xff, 0xee, 0xc2, 0xff}
)

// series is one line of a plot.
type series struct {
	of     *rehearsal.Outcome
	label  string
	colour color.Color
	dashed bool
	value  func(second int) float64
	n      int
}

// seriesOf makes the series of one run, the i-th that is drawn; false: the run has no such figures.
type seriesOf func(o *rehearsal.Outcome, i int) (series, bool)

// plots draws the runs. Runs that stand over each other share one scale.
func plots(runs []*rehearsal.Outcome) ([]plotView, error) {
	d := drawing{runs: runs}
	d.heatMaps()
	d.evenness()
	d.lines("Service by second", "Worth of the clients whose lines come back in time over that of all who wanted a connection.", false,
		func(o *rehearsal.Outcome, i int) (series, bool) {
			return series{o, name(o), lineColours[i%len(lineColours)], false, func(s int) float64 {
				if o.Seconds[s].Asked == 0 {
					return 1
				}
				return o.Seconds[s].Served / o.Seconds[s].Asked
			}, len(o.Seconds)}, true
		})
	d.lines("Herds", "The most new connections at one backend in half a second over its part of them; only where that part is eight or more.", true,
		byEvenness("", false, nil, func(o *rehearsal.Outcome, s int) float64 { return o.Evenness[s].HerdRatio }))
	d.lines("Processor time of all relays", "Cores, by second.", true, func(o *rehearsal.Outcome, i int) (series, bool) {
		return series{o, name(o), lineColours[i%len(lineColours)], false, func(s int) float64 { return o.Machine[s] }, len(o.Machine)}, o.Machine != nil
	})
	return d.out, d.err
}

// drawing collects the plots of some runs, up to the first that cannot be drawn.
type drawing struct {
	runs []*rehearsal.Outcome
	out  []plotView
	err  error
}

func (d *drawing) add(title, note string, draw func() (template.HTML, error)) {
	if d.err != nil {
		return
	}
	var svg template.HTML
	if svg, d.err = draw(); d.err == nil {
		d.out = append(d.out, plotView{title, note, svg})
	}
}

// heatMaps adds a map of the load of every backend for each run, all on one scale.
func (d *drawing) heatMaps() {
	top := 0.0
	for _, o := range d.runs {
		for i := range o.Evenness {
			for _, v := range o.Evenness[i].Loads {
				top = max(top, v)
			}
		}
	}
	for _, o := range d.runs {
		if len(o.Evenness) > 1 && len(o.Evenness[0].Loads) > 1 {
			d.add("Load by backend: "+name(o), fmt.Sprintf("A row is a backend, a column a second; dark is empty, bright is full (the brightest is %.0f%% of capacity), white is down. "+
				"Even load has rows of one colour.", 100*top), func() (template.HTML, error) { return heat(o, top) })
		}
	}
}

// evenness adds the plots of how far the load is from its mean.
func (d *drawing) evenness() {
	d.lines("Unevenness by second", "Deviation of the load over its mean; grey is hashing alone on the same connections. Lower is better.", true,
		byEvenness("", false, nil, func(o *rehearsal.Outcome, s int) float64 { return o.Evenness[s].Variation }),
		byEvenness("hashing, ", true, hashColour, func(o *rehearsal.Outcome, s int) float64 { return o.Evenness[s].HashingVariation }))
	d.lines("Emptiest and fullest backend", "Over the mean; 1 is the mean.", true,
		byEvenness("fullest, ", false, nil, func(o *rehearsal.Outcome, s int) float64 { return o.Evenness[s].MaxOverMean }),
		byEvenness("emptiest, ", true, nil, func(o *rehearsal.Outcome, s int) float64 { return o.Evenness[s].MinOverMean }))
}

// lines adds one plot with the series of every run that has them; none if no run has two points.
func (d *drawing) lines(title, note string, zero bool, of ...seriesOf) {
	var all []series
	for i, o := range d.runs {
		for _, f := range of {
			if s, ok := f(o, i); ok && s.n > 1 {
				all = append(all, s)
			}
		}
	}
	if len(all) > 0 {
		d.add(title, note, func() (template.HTML, error) { return curves(d.runs[0], all, zero) })
	}
}

// byEvenness makes a series of a figure of each second's evenness, in the run's own colour if c is nil.
func byEvenness(label string, dashed bool, c color.Color, f func(o *rehearsal.Outcome, s int) float64) seriesOf {
	return func(o *rehearsal.Outcome, i int) (series, bool) {
		colour := c
		if colour == nil {
			colour = lineColours[i%len(lineColours)]
		}
		return series{o, label + name(o), colour, dashed, func(s int) float64 { return f(o, s) }, len(o.Evenness)}, true
	}
}

// grid is the load of a run by second and backend, as the heat map wants it.
type grid struct{ o *rehearsal.Outcome }

func (g grid) Dims() (c, r int) {
	return len(g.o.Evenness), len(g.o.Evenness[len(g.o.Evenness)-1].Loads)
}
func (g grid) X(c int) float64 { return float64(c) + 0.5 }
func (g grid) Y(r int) float64 { return float64(r) }
func (g grid) Z(c, r int) float64 {
	if v := g.o.Evenness[c].Loads; r < len(v) && v[r] >= 0 {
		return v[r]
	}
	return math.NaN()
}

func heat(o *rehearsal.Outcome, top float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "backend"
	h := plotter.NewHeatMap(grid{o}, palette.Heat(24, 1))
	h.Min, h.Max, h.NaN = 0, max(top, 1e-9), color.White
	p.Add(h)
	_, rows := grid{o}.Dims()
	return svg(p, vg.Length(rows)*cell+0.8*vg.Inch)
}

func curves(o *rehearsal.Outcome, all []series, zero bool) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "second"
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(10)
	most, least := 0.0, math.Inf(1)
	for _, s := range all {
		for i := range s.n {
			most, least = max(most, s.value(i)), min(least, s.value(i))
		}
	}
	if zero {
		least = 0
	}
	most += (most - least) * 0.3 // room for the legend
	for _, f := range o.Faults {
		area, err := plotter.NewPolygon(plotter.XYs{{X: f.Began.Seconds(), Y: least}, {X: f.Ended.Seconds(), Y: least},
			{X: f.Ended.Seconds(), Y: most}, {X: f.Began.Seconds(), Y: most}})
		if err != nil {
			return "", err
		}
		area.Color, area.Width = faultColour, 0
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.Began.Seconds(), Y: most - (most-least)*0.06}}, Labels: []string{f.Kind}})
		if err != nil {
			return "", err
		}
		p.Add(area, label)
	}
	p.Add(plotter.NewGrid())
	for _, s := range all {
		points := make(plotter.XYs, s.n)
		for i := range points {
			points[i].X, points[i].Y = float64(i)+0.5, s.value(i)
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		l.Color, l.Width = s.colour, vg.Points(1.6)
		if s.dashed {
			l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(l)
		p.Legend.Add(s.label, l)
	}
	p.Y.Min, p.Y.Max = least, most
	p.X.Min = 0
	return svg(p, high)
}

func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(wide, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // the page has its own header
		text = text[i:]
	}
	return template.HTML(text), nil // made by the plot library from figures and the kinds of faults
}
