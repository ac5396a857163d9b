package relay

import (
	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// driver implements controller.Driver. Its methods run on the event loop and never block.
type driver struct{ *Relay }

var _ controller.Driver = driver{}

// SendCommand queues a command for a session; the command is dropped if the session has ended.
func (d driver) SendCommand(id uint64, command session.Command) {
	s := d.sessions[id]
	if s == nil {
		return
	}
	select {
	case s.commands <- command:
	default:
		d.log.Error("session command queue full", zap.Uint64("flow", id))
	}
}

// MigrateSession migrates a session: its client is sent MOVE and is to reconnect.
func (d driver) MigrateSession(id uint64) {
	if s := d.sessions[id]; s != nil {
		s.migrate()
	}
}

// ReportClientError logs a client's protocol error.
func (d driver) ReportClientError(id uint64, err error) {
	if s := d.sessions[id]; s != nil {
		d.logProtocolError(s.client.conn, err)
	}
}

// StartHealthCheck checks a backend in the background.
func (d driver) StartHealthCheck(b *upstream.Backend) { d.healthChecks.start(b) }

// ReleaseHealthCheck closes the idle connection to a backend.
func (d driver) ReleaseHealthCheck(id balance.BackendID) { d.healthChecks.release(id) }

// SendDatagram sends a datagram to a peer.
func (d driver) SendDatagram(to string, data []byte) { d.peers.queue(to, data) }

// RequestEndpoints asks discovery for changes, or for the whole list.
func (d driver) RequestEndpoints(watch bool) { d.discovery.request(watch) }

// SetDiscoveryAddress changes the discovery agent.
func (d driver) SetDiscoveryAddress(address string) { d.discovery.setAddress(address) }

// EndpointsReceived signals that the first endpoint list has been received.
func (d driver) EndpointsReceived() { close(d.endpointsReceived) }

// SendIDMessage queues a message about request IDs for another process of this relay, if there is one.
func (d driver) SendIDMessage(to hotrestart.Process, message hotrestart.IDMessage) {
	if link := d.linkTo(to); link != nil {
		link.send(message.Encode())
	}
}

// SendEndpointMessage queues a message about endpoints for another process of this relay, if there is one.
func (d driver) SendEndpointMessage(to hotrestart.Process, message hotrestart.EndpointMessage) {
	link := d.linkTo(to)
	if link == nil {
		return
	}
	lines, err := message.Encode()
	if err != nil {
		d.log.Warn("endpoints not sent to other process", zap.Error(err))
	}
	for _, line := range lines {
		link.send(line)
	}
}

// linkTo returns the link to another process of this relay; nil: there is no such process.
func (d driver) linkTo(process hotrestart.Process) *processLink {
	if process == hotrestart.Successor {
		return d.successorLink
	}
	if d.predecessor == nil {
		return nil
	}
	return d.predecessor.processLink
}

// RequestIDsReceived signals that the predecessor has sent the IDs of its open requests.
func (d driver) RequestIDsReceived() {
	d.requestIDsOnce.Do(func() { close(d.requestIDsReceived) })
}

// StopAccepting closes the listener in the background, once.
func (d driver) StopAccepting() { d.stopAcceptingOnce.Do(func() { go d.stopAccepting() }) }

// ShutdownFinished signals that the shutdown is finished: no answer is pending.
func (d driver) ShutdownFinished() { close(d.shutdownFinished) }

// SetSettings publishes the settings in force.
func (d driver) SetSettings(s *settings.Settings) {
	d.settings.Store(s)
	d.handshakes.setBusyAnswer(d.busyAnswer())
	d.healthChecks.setSettings(s)
}

// SetLimits applies how many connections of each kind may be open.
func (d driver) SetLimits(limits controller.Limits) {
	d.maxSessions.Store(int64(limits.Sessions))
	d.handshakes.resize(limits.Handshakes)
	d.healthChecks.resize(limits.HealthChecks)
	d.auxiliaryDescriptors.Store(int64(limits.HealthChecks + limits.AdminConnections))
	if d.adminServer != nil {
		d.adminServer.SetMaxConnections(limits.AdminConnections)
	}
}
