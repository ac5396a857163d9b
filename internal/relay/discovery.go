package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/discovery"
)

const (
	// discoveryRequestQueueLength is how many requests of the controller may be queued; the controller repeats dropped ones.
	discoveryRequestQueueLength = 8

	// maxDiscoveryConns allows a watch and a request for the whole list at the same time.
	maxDiscoveryConns = 2

	// discoveryRandomStream separates the backoff's random numbers from those of other users of the relay's seed.
	discoveryRandomStream = 0xd15c
)

// discoveryConn follows the endpoint list at one discovery agent at a time; a reload may change the agent.
type discoveryConn struct {
	relay          *Relay
	address        string
	requests       chan bool   // true: a watch, false: the whole list once
	addressChanges chan string // holds the newest address only
}

func newDiscoveryConn(address string, r *Relay) *discoveryConn {
	return &discoveryConn{
		relay:          r,
		address:        address,
		requests:       make(chan bool, discoveryRequestQueueLength),
		addressChanges: make(chan string, 1),
	}
}

// request queues a request for changes or for the whole list. It never blocks: a full queue drops the request.
func (d *discoveryConn) request(watch bool) {
	select {
	case d.requests <- watch:
	default:
	}
}

// setAddress changes the agent. It never blocks: an address that run has not received yet is replaced.
func (d *discoveryConn) setAddress(address string) {
	for {
		select {
		case d.addressChanges <- address:
			return
		default:
		}
		select {
		case <-d.addressChanges:
		default:
		}
	}
}

// run follows one agent after the other until ctx is done. When the address changes, also during a watch, the old
// agent's requests are cancelled at once, and none of its updates is posted after the new agent's first one.
func (d *discoveryConn) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.relay.seed, discoveryRandomStream))
	for changed := false; ; changed = true {
		client := discovery.NewClient(d.address, d.relay.settings.Load(), changed, rng)
		if version, ok := d.relay.controller.CachedVersion(); ok && !changed { // each agent counts its own versions
			client.ResumeFrom(version)
		}
		d.followUntilChange(ctx, client)
		if ctx.Err() != nil {
			return
		}
	}
}

// followUntilChange follows an agent until ctx is done or the address has changed.
func (d *discoveryConn) followUntilChange(ctx context.Context, client *discovery.Client) {
	transport := &http.Transport{
		Proxy:               nil,
		DisableCompression:  true,
		MaxConnsPerHost:     maxDiscoveryConns,
		MaxIdleConnsPerHost: maxDiscoveryConns,
		DialContext:         (&net.Dialer{Timeout: discovery.ResponseGrace}).DialContext,
	}
	followCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.follow(followCtx, client, &http.Client{Transport: transport})
	}()
	select {
	case <-ctx.Done():
	case d.address = <-d.addressChanges:
	}
	cancel()
	<-done
	transport.CloseIdleConnections()
}

// follow makes the requests that client returns, one at a time, until ctx is done.
func (d *discoveryConn) follow(ctx context.Context, client *discovery.Client, httpClient *http.Client) {
	for ctx.Err() == nil {
		select {
		case watch := <-d.requests:
			client.Schedule(watch)
			continue
		default:
		}
		request, ok := client.NextRequest()
		if !ok {
			select {
			case <-ctx.Done():
			case watch := <-d.requests:
				client.Schedule(watch)
			}
			continue
		}
		body, err := fetch(ctx, httpClient, client.Address, request)
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, d.handleResponse(client, request, body, err))
	}
}

// handleResponse posts a changed endpoint list and returns the delay before the next request.
func (d *discoveryConn) handleResponse(client *discovery.Client, request discovery.Request, body []byte, err error) time.Duration {
	var update discovery.Update
	if err == nil {
		update, err = client.HandleResponse(body)
	} else {
		update = client.HandleFailure(isTimeout(err))
	}
	if err != nil {
		d.relay.log.Warn("discovery request failed, keeping the last endpoint list", zap.String("agent", client.Address),
			zap.Bool("whole", request.FullList), zap.Error(err))
	}
	if update.Changed {
		d.relay.post(func(now time.Duration) { d.relay.controller.EndpointsUpdated(now, update.Endpoints, update.Kind) })
	}
	return update.RetryDelay
}

// sleep waits for the delay, if any, or until ctx is done.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fetch makes one request and returns the body. A body returned with an error is incomplete or came with a status other than 200.
func fetch(ctx context.Context, client *http.Client, address string, request discovery.Request) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: address, Path: request.Path, RawQuery: request.Query}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, discovery.MaxBodyBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("HTTP status %s, expected 200", response.Status)
	}
	return body, err
}
