// This file drives the talk with discovery over HTTP, as the agent's machine says.
// It must never hold up the loop, nor let anything of an agent that was left reach
// it after the new one's.

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

// discoveryLoop keeps to one agent at a time; a reload may name another.
type discoveryConn struct {
	relay          *Relay
	address        string
	requests       chan bool   // what the module asked for: true a watch, false the whole list once
	addressChanges chan string // the address of a new agent; only the newest counts
}

func newDiscoveryConn(address string, r *Relay) *discoveryConn {
	return &discoveryConn{relay: r, address: address, requests: make(chan bool, 8), addressChanges: make(chan string, 1)}
}

// ask is called by the loop and must not wait: a call too many is dropped, the
// module asks again.
func (d *discoveryConn) request(watch bool) {
	select {
	case d.requests <- watch:
	default:
	}
}

// move names a new agent. It never waits; one that is not taken up yet is replaced.
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

// run follows one agent after the other until ctx is done. The old one is left
// at once, in the middle of a watch too: what it still says is no longer news,
// and what the new one knows counts as told soon after its address was.
func (d *discoveryConn) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.relay.seed, 0xd15c))
	for moved := false; ; moved = true {
		a := discovery.NewClient(d.address, d.relay.settings.Load(), moved, rng)
		if v, ok := d.relay.controller.CachedVersion(); ok && !moved { // versions are an agent's own
			a.ResumeFrom(v)
		}
		t := &http.Transport{Proxy: nil, DisableCompression: true, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2,
			DialContext: (&net.Dialer{Timeout: discovery.ResponseGrace}).DialContext}
		follow, leave := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.follow(follow, a, &http.Client{Transport: t})
		}()
		select {
		case <-ctx.Done():
		case d.address = <-d.addressChanges:
		}
		leave()
		<-done // nothing of the old agent's reaches the loop after the new one's
		t.CloseIdleConnections()
		if ctx.Err() != nil {
			return
		}
	}
}

// follow makes the calls that the machine asks for.
func (d *discoveryConn) follow(ctx context.Context, a *discovery.Client, client *http.Client) {
	for ctx.Err() == nil {
		select {
		case watch := <-d.requests:
			a.Schedule(watch)
			continue
		default:
		}
		call, ok := a.NextRequest()
		if !ok {
			select {
			case <-ctx.Done():
			case watch := <-d.requests:
				a.Schedule(watch)
			}
			continue
		}
		body, err := fetch(ctx, client, a.Address, call)
		if ctx.Err() != nil {
			return
		}
		var news discovery.Update
		if err == nil {
			news, err = a.HandleResponse(body)
		} else {
			news = a.HandleFailure(isTimeout(err))
		}
		if err != nil {
			d.relay.log.Warn("discovery does not answer, the last list stays", zap.String("agent", a.Address),
				zap.Bool("whole", call.FullList), zap.Error(err))
		}
		if news.Changed {
			d.relay.post(func(now time.Duration) { d.relay.controller.EndpointsUpdated(now, news.Endpoints, news.Kind) })
		}
		if news.RetryDelay > 0 {
			pause := time.NewTimer(news.RetryDelay)
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			pause.Stop()
		}
	}
}

func fetch(ctx context.Context, client *http.Client, address string, call discovery.Request) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.Query}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, discovery.MaxBodyBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %s", resp.Status)
	}
	return body, err
}
