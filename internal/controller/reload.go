package controller

import (
	"bytes"
	"errors"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/settings"
)

// reload is a valid new configuration that is being applied.
type reload struct {
	previous, next Config
	cached         discovery.EndpointList // next's cached endpoint list
	settings       settings.Settings      // merged with those in force
	classNames     []string               // merged with those in force
	limits         Limits
}

// reloadStep applies one part of a configuration if it has changed.
type reloadStep struct {
	part    string // its name in the log
	changed func(c *Controller, r *reload) bool
	apply   func(c *Controller, r *reload)
}

// reloadSteps are run in this order.
var reloadSteps = []reloadStep{
	{
		"discovery",
		func(_ *Controller, r *reload) bool { return r.next.Discovery != r.previous.Discovery },
		func(c *Controller, r *reload) { c.driver.SetDiscoveryAddress(r.next.Discovery) },
	},
	{
		"peers",
		func(_ *Controller, r *reload) bool {
			return !slices.Equal(r.next.Peers, r.previous.Peers) || r.next.BroadcastPeer != r.previous.BroadcastPeer
		},
		func(c *Controller, r *reload) {
			c.peers = newPeerTable(r.next.Peers)
			c.restartMembership(&r.next)
		},
	},
	{
		"membership",
		func(_ *Controller, r *reload) bool { return !sameMembership(r.next.Membership, r.previous.Membership) },
		func(c *Controller, r *reload) { c.restartMembership(&r.next) },
	},
	{
		"limits",
		func(_ *Controller, r *reload) bool {
			return r.next.MaxDescriptors != r.previous.MaxDescriptors || r.next.MemoryMB != r.previous.MemoryMB
		},
		func(c *Controller, r *reload) {
			c.sessions.ended.limit = maxEndedIDs(r.next.MemoryMB)
			c.driver.SetLimits(r.limits)
		},
	},
	{
		"known",
		func(c *Controller, r *reload) bool { // a list from discovery, told to whichever process, is never older
			return !bytes.Equal(r.next.CachedEndpoints, r.previous.CachedEndpoints) &&
				len(r.cached.Endpoints) > 0 && !c.endpoints.versions.newest.Told()
		},
		func(c *Controller, r *reload) { c.cachedEndpointsUpdated(r.cached) },
	},
	{
		"settings", // open sessions keep those under which they opened
		func(c *Controller, r *reload) bool { return !reflect.DeepEqual(r.settings, *c.settings) },
		func(c *Controller, r *reload) { c.replaceSettings(&r.settings, r.classNames) },
	},
	{
		"routes", // open sessions keep their retry policy; new ones use the table of the configuration in force
		func(_ *Controller, r *reload) bool { return !r.next.Routes.Equal(r.previous.Routes) },
		func(*Controller, *reload) {},
	},
}

// Reload applies the parts of a configuration that may change while the relay runs: the discovery agent, the peers,
// the membership protocol, the limits, the settings, the routes and, until discovery has answered, the cached endpoint
// list. descriptors is the number of descriptors under the new limits. Changes that need a restart are logged. On an
// error, such as *CachedEndpointsError or *settings.ClassLimitError, nothing is applied.
func (c *Controller) Reload(now time.Duration, cfg Config, descriptors int) error {
	pending, err := c.prepareReload(cfg)
	if err != nil {
		return err
	}
	c.descriptors.total = descriptors
	pending.limits = c.descriptors.limits(pending.next.MemoryMB, pending.previous.AdminListen != "")
	var applied []string
	c.deliver(now, func() {
		for _, step := range reloadSteps {
			if step.changed(c, pending) {
				applied = append(applied, step.part)
				step.apply(c, pending)
			}
		}
	})
	needRestart := pending.needRestart(c.settings)
	c.config = pending.inForce(c.settings)
	c.log.Info("configuration reloaded", zap.Strings("taken", applied), zap.String("discovery", cfg.Discovery),
		zap.Int("flows", pending.limits.Sessions))
	if len(needRestart) > 0 {
		c.log.Warn("configuration changes need a restart", zap.Strings("parts", needRestart))
	}
	return nil
}

// prepareReload checks a configuration and merges its classes with those in force.
func (c *Controller) prepareReload(cfg Config) (*reload, error) {
	cached, malformed, err := cfg.cachedEndpoints(c.settings)
	if err = errors.Join(err, malformed); err != nil {
		return nil, err
	}
	cfg.Settings = resolveLoadSignal(cfg.Settings)
	merged, names, classNumbers, err := settings.Merge(c.settings, c.classNames, cfg.Settings)
	if err != nil {
		return nil, err
	}
	cfg.Routes = cfg.Routes.RemapClasses(classNumbers)
	return &reload{previous: c.config, next: cfg, cached: cached, settings: merged, classNames: names}, nil
}

// needRestart returns the names of the changed parts that take effect only after a restart.
func (r *reload) needRestart(inForce *settings.Settings) []string {
	next, previous := &r.next, &r.previous
	var parts []string
	for _, part := range []struct {
		name string
		same bool
	}{
		{"listen", next.Listen == previous.Listen},
		{"name", next.Name == previous.Name},
		{"management", next.AdminListen == previous.AdminListen},
		{"watch", next.Shadow.Equal(previous.Shadow)},
		{"peer_listen", next.PeerListen == previous.PeerListen},
		{"settings", settings.SameRestartOnly(&next.Settings, inForce)},
	} {
		if !part.same {
			parts = append(parts, part.name)
		}
	}
	return parts
}

// inForce returns the new configuration with the previous values of the parts that need a restart.
func (r *reload) inForce(current *settings.Settings) Config {
	cfg, previous := r.next, &r.previous
	cfg.Name, cfg.Listen, cfg.PeerListen = previous.Name, previous.Listen, previous.PeerListen
	cfg.AdminListen, cfg.RuntimeDir, cfg.Shadow = previous.AdminListen, previous.RuntimeDir, previous.Shadow
	cfg.Settings = *current
	return cfg
}
