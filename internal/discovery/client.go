// Package discovery is the client of the service that lists backends: which call to make next, how long to back off after
// a failure, and how a response becomes an endpoint list. It does no I/O; the caller makes the calls.
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
	// ResponseGrace is how long after the end of its wait a watch's response may come; then the call has timed out.
	ResponseGrace = 500 * time.Millisecond
	// MaxBodyBytes is the longest response body that is read.
	MaxBodyBytes = 16 << 20
)

const (
	listPath = "/catalog/members"

	// watchTimeout is how long discovery may hold a watch. It is short, for a change that was not received counts as
	// published soon after.
	watchTimeout = 2 * time.Second
	// listTimeout is the time limit of a call for the whole list, which discovery answers at once.
	listTimeout = 2 * ResponseGrace

	// The backoff doubles with each failure in a row; the delay is it with jitter, between half of it and one and a half.
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = time.Second
	maxRetryDelay = maxBackoff / 2 * 3
)

// maxStaleness is how long a change at discovery may take to arrive here, whatever became of earlier calls, counted from
// when it was made and discovery could be reached. It holds for lists that are pushed and for those that are polled.
const maxStaleness = 6 * time.Second

// worstStaleness is the longest way to a change: a call made just before it breaks off at the end of its time, the longest
// delay follows, then a call that fetches the whole list. The constant below fails to compile unless that fits, with a
// second to spare for the way to the balancer.
const (
	worstStaleness = watchTimeout + ResponseGrace + maxRetryDelay + listTimeout
	_              = uint64(maxStaleness - time.Second - worstStaleness)
)

// Client follows the endpoint list at one address of discovery. Versions are that address's own. Its methods are called one
// at a time.
type Client struct {
	Address        string
	settings       *settings.Settings
	rng            *rand.Rand
	version        uint64
	hasVersion     bool // changes since version can be asked for
	watching       bool
	requested      bool // the balancer wants a call
	watchRequested bool // for a watch, since the last call began: it outlasts that call's failure
	listRequested  bool // for the whole list
	fetchingList   bool // the current call is for the whole list
	answered       bool // some response has been read
	backoff        time.Duration
}

// NewClient is a client that watches from the start where discovery pushes lists, or where it follows an address that
// another one was replaced by.
func NewClient(address string, set *settings.Settings, moved bool, rng *rand.Rand) *Client {
	return &Client{Address: address, settings: set, rng: rng, watching: !set.PollEndpoints || moved, backoff: minBackoff}
}

// ResumeFrom has a client whose lists are polled go on from the version of a list that this relay has from an earlier run.
// To fetch the whole list and then watch would be two calls: many relays that start together would take up discovery's
// room with the first, and have their watches turned away.
func (c *Client) ResumeFrom(version uint64) {
	c.version, c.hasVersion = version, c.settings.PollEndpoints
}

// Schedule asks for a call: a watch, or the whole list once.
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

// NextRequest is the call to make now; false: none until one is scheduled.
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

// Update is what a call brings.
type Update struct {
	Endpoints  EndpointList
	Kind       balance.EndpointUpdateKind
	Changed    bool          // the endpoints are for the controller
	RetryDelay time.Duration // until the next call
}

// HandleResponse takes in the body of a response with status 200. Where some endpoints are invalid the others are an update
// all the same, for a drain among them has been published; the list is then asked for again, and the error says why.
func (c *Client) HandleResponse(body []byte) (Update, error) {
	list, invalid, err := ParseEndpointsLenient(body, c.settings)
	if err != nil {
		return c.HandleFailure(false), fmt.Errorf("body: %w", err)
	}
	update := Update{Endpoints: list, Kind: balance.UpdateDelta}
	if invalid != nil {
		c.retry()
		update.Changed, update.RetryDelay = len(list.Endpoints) > 0, c.nextBackoff()
		return update, fmt.Errorf("body: %w", invalid)
	}
	update.Changed = c.fetchingList || list.Full || len(list.Endpoints) > 0 || !c.answered
	if list.Full {
		update.Kind = balance.UpdateFull
	}
	// Where versions go back discovery has started anew, and changes in between were published to nobody: with no version
	// to go on from, the next call fetches the whole list.
	c.hasVersion = list.Full || list.Version >= c.version
	c.backoff, c.version, c.answered = minBackoff, list.Version, true
	return update, nil
}

// HandleFailure takes in a call that brought nothing. It is made again soon: a watch that is renewed within 200 ms misses
// nothing, and one that has timed out is renewed at once, since its own time limit paces it. However many calls fail in a
// row, the delay stays below maxRetryDelay, which maxStaleness rests on. A relay whose calls fail at once makes one a second.
func (c *Client) HandleFailure(timedOut bool) Update {
	c.retry()
	if timedOut {
		return Update{}
	}
	return Update{RetryDelay: c.nextBackoff()}
}

// retry has the current call made again.
func (c *Client) retry() {
	c.requested = true
	c.listRequested = c.listRequested || c.fetchingList
}

// nextBackoff is the delay before the next call.
func (c *Client) nextBackoff() time.Duration {
	delay := c.backoff/2 + time.Duration(c.rng.Int64N(int64(c.backoff)))
	c.backoff = min(2*c.backoff, maxBackoff)
	return delay
}
