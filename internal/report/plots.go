package report

import (
	"fmt"
	"html/template"
	"image/color"

	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/scenario"
)

// Colours that also differ in lightness, for readers who can't tell the hues apart.
var (
	lineColours = []color.Color{color.RGBA{0x0b, 0x3c, 0x8c, 0xff}, color.RGBA{0xd5, 0x6a, 0x00, 0xff}}
	hashColour  = color.RGBA{0x88, 0x88, 0x88, 0xff}
	faultColour = color.RGBA{0xff, 0xee, 0xc2, 0xff}
)

// series is one line of a plot.
type series struct {
	label   string
	colour  color.Color
	dashed  bool
	seconds int // number of points, one a second
	value   func(second int) float64
}

// seriesFunc makes the series of one run in its colour. A run without such figures gets a series without points.
type seriesFunc func(o *scenario.Outcome, colour color.Color) series

// plots draws the runs. Plots of one figure share one scale.
func plots(runs []*scenario.Outcome) ([]plotData, error) {
	d := drawing{runs: runs}
	d.addHeatMaps()
	d.addEvenness()
	d.addLines("Service by second", "Weight of the clients whose lines are answered in time, over that of all clients that request a connection.", false, serviceSeries)
	d.addLines("Herds", "The most new connections at one backend in half a second, over its fair share of them; only where that share is eight or more.", true,
		evennessSeries(func(s *loadstats.Second) float64 { return s.HerdRatio }))
	d.addLines("Processor time of all relays", "Cores, by second.", true, coresSeries)
	return d.plots, d.err
}

// drawing collects the plots of some runs. It stops at the first error.
type drawing struct {
	runs  []*scenario.Outcome
	plots []plotData
	err   error
}

func (d *drawing) add(title, note string, draw func() (template.HTML, error)) {
	if d.err != nil {
		return
	}
	var svg template.HTML
	if svg, d.err = draw(); d.err == nil {
		d.plots = append(d.plots, plotData{title, note, svg})
	}
}

// addHeatMaps adds a heat map of the load of every backend for each run.
func (d *drawing) addHeatMaps() {
	highest := 0.0
	for _, o := range d.runs {
		for i := range o.Evenness {
			for _, load := range o.Evenness[i].Loads {
				highest = max(highest, load)
			}
		}
	}
	note := fmt.Sprintf("A row is a backend, a column a second; dark is empty, bright is full (the brightest is %.0f%% of capacity), white is down. "+
		"Even load has rows of one colour.", 100*highest)
	for _, o := range d.runs {
		if len(o.Evenness) > 1 && len(o.Evenness[0].Loads) > 1 {
			d.add("Load by backend: "+runName(o), note, func() (template.HTML, error) { return drawHeatMap(o, highest) })
		}
	}
}

// addEvenness adds the plots of how far the loads are from their mean.
func (d *drawing) addEvenness() {
	d.addLines("Unevenness by second", "Deviation of the load over its mean; grey is hashing alone on the same connections. Lower is better.", true,
		evennessSeries(func(s *loadstats.Second) float64 { return s.Variation }),
		dashed("hashing, ", hashColour, evennessSeries(func(s *loadstats.Second) float64 { return s.HashingVariation })))
	d.addLines("Emptiest and fullest backend", "Over the mean; 1 is the mean.", true,
		labelled("fullest, ", evennessSeries(func(s *loadstats.Second) float64 { return s.MaxOverMean })),
		dashed("emptiest, ", nil, evennessSeries(func(s *loadstats.Second) float64 { return s.MinOverMean })))
}

// addLines adds one plot with the series of every run that has them; none if no run has two points.
func (d *drawing) addLines(title, note string, fromZero bool, makeSeries ...seriesFunc) {
	var lines []series
	for i, o := range d.runs {
		for _, f := range makeSeries {
			if s := f(o, lineColours[i%len(lineColours)]); s.seconds > 1 {
				lines = append(lines, s)
			}
		}
	}
	if len(lines) > 0 {
		d.add(title, note, func() (template.HTML, error) { return drawLines(d.runs[0], lines, fromZero) })
	}
}

// serviceSeries is the service by second.
func serviceSeries(o *scenario.Outcome, colour color.Color) series {
	return series{label: runName(o), colour: colour, seconds: len(o.Seconds), value: func(second int) float64 {
		if o.Seconds[second].Requested == 0 {
			return 1
		}
		return o.Seconds[second].Served / o.Seconds[second].Requested
	}}
}

// coresSeries is the processor time by second.
func coresSeries(o *scenario.Outcome, colour color.Color) series {
	return series{label: runName(o), colour: colour, seconds: len(o.Cores), value: func(second int) float64 { return o.Cores[second] }}
}

// evennessSeries is a figure of each second's evenness.
func evennessSeries(figure func(s *loadstats.Second) float64) seriesFunc {
	return func(o *scenario.Outcome, colour color.Color) series {
		return series{label: runName(o), colour: colour, seconds: len(o.Evenness), value: func(second int) float64 { return figure(&o.Evenness[second]) }}
	}
}

// labelled puts a prefix before the label of a series.
func labelled(prefix string, f seriesFunc) seriesFunc {
	return func(o *scenario.Outcome, colour color.Color) series {
		s := f(o, colour)
		s.label = prefix + s.label
		return s
	}
}

// dashed is like labelled, with a dashed line in the override colour; nil: in the run's.
func dashed(prefix string, override color.Color, f seriesFunc) seriesFunc {
	return func(o *scenario.Outcome, colour color.Color) series {
		if override != nil {
			colour = override
		}
		s := labelled(prefix, f)(o, colour)
		s.dashed = true
		return s
	}
}
