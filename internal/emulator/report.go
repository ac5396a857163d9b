package emulator

import (
	"math"
	"time"
)

// loadReporter makes the load reports of a server.
type loadReporter struct {
	workDone   float64 // core-seconds of requests since the last report
	lastReport time.Duration
	pending    []loadReport // made, and not yet delivered
	delivered  float64      // load of the newest report delivered
}

// loadReport is a load report that is made and not yet delivered.
type loadReport struct {
	at   time.Duration // when it was made
	load float64
}

// LoadReport returns the load that the server reports: connections and the work of the last interval, relative to its
// capacity, rounded, noisy and delayed as configured.
func (s *Server) LoadReport(now time.Duration) float64 {
	s.advance(now)
	if sinceLast := now - s.reporter.lastReport; sinceLast >= s.cfg.ReportInterval && sinceLast > 0 {
		s.reporter.pending = append(s.reporter.pending, loadReport{now, s.measureLoad(sinceLast)})
		s.reporter.lastReport, s.reporter.workDone = now, 0
	}
	return s.reporter.deliver(now, s.cfg.ReportDelay)
}

// measureLoad returns the load over the last interval, with the configured noise and rounding.
func (s *Server) measureLoad(interval time.Duration) float64 {
	load := (s.connectionLoad() + s.reporter.workDone/interval.Seconds()) / max(s.totalSpeed(), minCapacity)
	load *= 1 + s.cfg.ReportNoise*s.rng.NormFloat64()
	if s.cfg.ReportQuantum > 0 {
		load = math.Round(load/s.cfg.ReportQuantum) * s.cfg.ReportQuantum
	}
	return max(0, load)
}

// deliver returns the newest report that is old enough.
func (r *loadReporter) deliver(now, delay time.Duration) float64 {
	for len(r.pending) > 0 && now-r.pending[0].at >= delay {
		r.delivered, r.pending = r.pending[0].load, r.pending[1:]
	}
	return r.delivered
}
