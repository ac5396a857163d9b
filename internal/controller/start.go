package controller

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/shadow"
)

// maxWaitForEndpoints is how long a relay without any endpoint list is not ready; after that it is ready without one.
const maxWaitForEndpoints = 6 * time.Second

// New starts the core of a relay. What is malformed in the cached endpoint list is logged and left out: a relay that did
// not start because of it could serve none of its clients.
func New(now time.Duration, cfg Config, driver Driver, log *zap.Logger) (*Controller, error) {
	cfg.Settings = resolveLoadSignal(cfg.Settings)
	inForce := cfg.Settings // a copy: a reload replaces the whole configuration
	c := &Controller{
		config:     cfg,
		settings:   &inForce,
		classNames: slices.Clone(inForce.ClassNames),
		log:        log,
		driver:     driver,
		metrics:    &metrics.Registry{},
		startedAt:  now,
		now:        now,
		endpoints:  newEndpointTable(),
		peers:      newPeerTable(cfg.Peers),
	}
	c.sessions = newSessionTable(newEndedIDs(maxEndedIDs(cfg.MemoryMB), c.endedIDsDropped))
	c.metrics.SetClasses(c.classNames)
	cached, malformed, err := cfg.cachedEndpoints(c.settings)
	malformed = errors.Join(err, malformed)
	if malformed != nil {
		log.Warn("cached endpoint list is malformed", zap.Error(malformed))
	}
	c.startBalancer(now)
	if len(cached.Endpoints) > 0 {
		if malformed == nil { // else the whole list is fetched, not the changes since this version
			c.endpoints.cachedVersion = &cached.Version
		}
		c.EndpointsUpdated(now, cached, balance.UpdateCached)
	}
	if cfg.AdminListen != "" || c.shadow != nil {
		c.setTimer(metricsTimer, 0, 0)
	}
	if !c.ready.Load() {
		c.setTimer(endpointsTimer, 0, maxWaitForEndpoints)
	}
	return c, nil
}

// startBalancer starts the Decider and, if it is configured, the shadow evaluation.
func (c *Controller) startBalancer(now time.Duration) {
	actions := balance.Actions(balancerActions{c})
	var evaluator *shadow.Evaluator
	if c.config.Shadow != nil {
		evaluator = shadow.New(shadowHost{c}, c.config.Shadow, c.log)
		actions = evaluator.Observe(actions)
	}
	newDecider := c.config.NewDecider
	if newDecider == nil {
		newDecider = newBalancer
	}
	c.balancer = newDecider(now, c.config.Seed, c.effectiveSettings(), actions)
	if evaluator != nil {
		evaluator.Start(now, c.config.Seed, c.balancer, c.effectiveSettings(), c.metrics.EnableShadow())
		c.balancer, c.shadow = evaluator, evaluator
	}
}

func newBalancer(now time.Duration, seed uint64, s balance.Settings, actions balance.Actions) decision.Decider {
	return balance.New(now, seed, s, actions)
}

// effectiveSettings returns the settings for the balancer. ReportsMessageDelay is set only once a backend has reported a
// message delay. If it were set by the configuration alone, an overloaded backend that reports nothing would be treated as
// healthy, would not be health checked, and its sessions would stay slow.
func (c *Controller) effectiveSettings() balance.Settings {
	s := c.settings.Settings
	s.ReportsMessageDelay = s.ReportsMessageDelay && c.messageDelayReported
	return s
}

// replaceSettings replaces the settings in force, for new sessions.
func (c *Controller) replaceSettings(s *settings.Settings, classNames []string) {
	c.settings, c.classNames = s, classNames
	c.metrics.SetClasses(classNames)
	c.balancer.UpdateSettings(c.effectiveSettings())
	c.driver.SetSettings(s)
}

// endpointsOverdue makes the relay ready although it has no endpoint list.
func (c *Controller) endpointsOverdue() {
	if !c.ready.Swap(true) {
		c.log.Warn("ready without an endpoint list", zap.Duration("after", maxWaitForEndpoints))
	}
}
