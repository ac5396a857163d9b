// Package discovery implements the client of discovery, the service that lists backends: which call to make next, how long
// to back off after a failure, and how a response is parsed into an endpoint list. It does no I/O; the caller makes the
// calls.
package discovery

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

const (
	// ResponseGrace is how long after the end of its wait a watch's response may arrive before the call times out.
	ResponseGrace = 500 * time.Millisecond
	// MaxBodyBytes is the longest response body that is read.
	MaxBodyBytes = 16 << 20
)

const (
	listPath = "/catalog/members"

	// watchTimeout is how long discovery may hold a watch. It is short because a change counts as published soon after it
	// was made, even if it was not received.
	watchTimeout = 2 * time.Second
	// listTimeout is the time limit of a call for the whole list, which discovery answers at once.
	listTimeout = 2 * ResponseGrace

	// The backoff doubles with each consecutive failure; the delay is the backoff with jitter, 0.5 to 1.5 times as long.
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = time.Second
	maxRetryDelay = maxBackoff / 2 * 3
)

// maxStaleness is how long a change at discovery may take to reach the relay, whatever the outcome of earlier calls, counted
// from when it was made and discovery could be reached. It holds for pushed and for polled lists.
const maxStaleness = 6 * time.Second

// worstStaleness is the longest time until a change is received: a call made just before the change fails at the end of its
// time limit, the longest delay follows, then a call that fetches the whole list. The constant below fails to compile unless
// that fits into maxStaleness with a second to spare for passing the change to the balancer.
const (
	worstStaleness = watchTimeout + ResponseGrace + maxRetryDelay + listTimeout
	_              = uint64(maxStaleness - time.Second - worstStaleness)
)

// Client follows the endpoint list at one address of discovery. Versions are specific to that address. Its methods are
// called one at a time.
type Client struct {
	Address        string
	settings       *settings.Settings
	rng            *rand.Rand
	version        uint64
	hasVersion     bool // changes since version can be requested
	watching       bool
	requested      bool // a call has been scheduled
	watchRequested bool // a watch has been scheduled since the last call began; remains set if that call fails
	listRequested  bool // a call for the whole list has been scheduled
	fetchingList   bool // the current call is for the whole list
	answered       bool // a valid response has been processed
	backoff        time.Duration
}

// NewClient returns a client that watches from the start if discovery pushes lists, or if addressChanged states that its
// address has replaced another one.
func NewClient(address string, current *settings.Settings, addressChanged bool, rng *rand.Rand) *Client {
	return &Client{Address: address, settings: current, rng: rng, watching: !current.PollEndpoints || addressChanged, backoff: minBackoff}
}

// ResumeFrom makes a client of polled lists continue from the version of a list that this relay has from an earlier run.
// Fetching the whole list and then watching would take two calls: if many relays start together, their first calls would
// exhaust discovery's capacity, and their watches would be refused.
func (c *Client) ResumeFrom(version uint64) {
	c.version, c.hasVersion = version, c.settings.PollEndpoints
}

// Schedule requests a call: a watch, or the whole list once.
func (c *Client) Schedule(watch bool) {
	c.requested = true
	c.watchRequested = c.watchRequested || watch
	c.listRequested = c.listRequested || !watch
}

// Request is one call to discovery, a GET.
type Request struct {
	Path     string
	Query    string
	Timeout  time.Duration // of the whole call
	FullList bool
}

// NextRequest returns the call to make now; false: none until one is scheduled.
func (c *Client) NextRequest() (Request, bool) {
	if !c.watching && !c.requested {
		return Request{}, false
	}
	c.watching = c.watching || c.watchRequested
	c.fetchingList = !c.hasVersion || c.listRequested || !c.watching
	c.requested, c.watchRequested, c.listRequested = false, false, false
	if c.fetchingList {
		return Request{Path: listPath, Timeout: listTimeout, FullList: true}, true
	}
	index := strconv.FormatUint(c.version, 10)
	wait := strconv.FormatInt(watchTimeout.Milliseconds(), 10)
	return Request{Path: listPath, Query: "index=" + index + "&wait=" + wait, Timeout: watchTimeout + ResponseGrace}, true
}

// Update is the result of a call.
type Update struct {
	Endpoints  EndpointList
	Kind       balance.EndpointUpdateKind
	Changed    bool          // the endpoints are to be passed to the controller
	RetryDelay time.Duration // until the next call
}

// HandleResponse processes the body of a response with status 200. If some endpoints are invalid, the others are still an
// update, because a drain among them has been published; the list is then requested again, and the error gives the reason.
func (c *Client) HandleResponse(body []byte) (Update, error) {
	list, invalid, err := ParseEndpointsLenient(body, c.settings)
	if err != nil {
		return c.HandleFailure(false), fmt.Errorf("response body: %w", err)
	}
	list.Agent, list.Partial = c.Address, invalid != nil
	update := Update{Endpoints: list, Kind: balance.UpdateDelta}
	if invalid != nil {
		c.retry()
		update.Changed, update.RetryDelay = len(list.Endpoints) > 0, c.nextBackoff()
		return update, fmt.Errorf("response body: %w", invalid)
	}
	update.Changed = c.fetchingList || list.Full || len(list.Endpoints) > 0 || !c.answered
	if list.Full {
		update.Kind = balance.UpdateFull
	}
	// If the version has gone back, discovery has restarted, and changes in between were sent to no client: without a
	// version to continue from, the next call fetches the whole list.
	c.hasVersion = list.Full || list.Version >= c.version
	c.backoff, c.version, c.answered = minBackoff, list.Version, true
	return update, nil
}

// HandleFailure processes a call without a usable response. It is repeated soon: a watch that is renewed within 200 ms misses
// no change, and one that has timed out is renewed at once, since its own time limit bounds the rate. However many calls fail
// in a row, the delay stays below maxRetryDelay, on which maxStaleness depends. A relay whose calls fail at once makes one
// call a second on average.
func (c *Client) HandleFailure(timedOut bool) Update {
	c.retry()
	if timedOut {
		return Update{}
	}
	return Update{RetryDelay: c.nextBackoff()}
}

// retry schedules the current call again.
func (c *Client) retry() {
	c.requested = true
	c.listRequested = c.listRequested || c.fetchingList
}

// nextBackoff returns the delay before the next call and doubles the backoff.
func (c *Client) nextBackoff() time.Duration {
	delay := c.backoff/2 + time.Duration(c.rng.Int64N(int64(c.backoff)))
	c.backoff = min(2*c.backoff, maxBackoff)
	return delay
}
