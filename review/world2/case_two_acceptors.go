package main

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["two-acceptors"] = playTwoAcceptors }

const (
	// acceptorInterval is the time between two requests.
	acceptorInterval = 10 * time.Millisecond

	// acceptorSetup is how long a backend takes to answer an OPEN line.
	acceptorSetup = 250 * time.Millisecond

	// tmpdirName makes $TMPDIR as long as that of a volume of a pod.
	tmpdirName = "pods/0f6c1a52-7d3e-4b8a-9c55-2e61d0a4f7b3/volumes/empty-dir/relay-n0-temporary"
)

// playTwoAcceptors starts a new version under load where $TMPDIR has a long path.
func playTwoAcceptors(w *world) error {
	w.tmpdir = filepath.Join(w.dir, tmpdirName)
	runs := &received{byID: map[string][]string{}}
	_, entries, err := w.startBackends(4, func(b *backend, _ *net.TCPConn, o openLine) bool {
		runs.add(b.entry.ID, o.id)
		time.Sleep(acceptorSetup)
		return true
	})
	if err != nil {
		return err
	}
	a, err := w.startAgent(entries)
	if err != nil {
		return err
	}
	config, err := w.smallConfig("n0", a.addr, defaultClasses(), a.whole())
	if err != nil {
		return err
	}
	first, err := w.startRelay("n0-old", config)
	if err != nil {
		return err
	}
	if err := first.awaitReady(); err != nil {
		return err
	}
	unanswered := &unansweredRequests{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { w.requestUntil(config.listen, stop, unanswered) })
	time.Sleep(2 * time.Second)
	if w.trouble {
		if err := w.upgrade(config, first); err != nil {
			return err
		}
	} else {
		time.Sleep(killAfter)
	}
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	return w.judgeUnanswered(unanswered, runs)
}

// upgrade starts a new version and ends the old process as the platform does.
func (w *world) upgrade(config *relayConfig, first *relayProcess) error {
	next := *config
	var err error
	if next.management, err = freeAddress(); err != nil {
		return err
	}
	second, err := w.startRelay("n0-new", &next)
	if err != nil {
		return err
	}
	if err := second.awaitReady(); err != nil {
		return err
	}
	first.signal(syscall.SIGTERM)
	select {
	case <-first.exited:
	case <-time.After(killAfter):
		first.signal(syscall.SIGKILL)
	}
	return nil
}

// unansweredRequests are the ids of requests whose connections ended without an answer.
type unansweredRequests struct {
	mu  sync.Mutex
	ids []string
}

func (u *unansweredRequests) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids = append(u.ids, id)
}

// requestUntil sends requests until stop is closed and waits for their answers; connections that come up are held for 2 s.
func (w *world) requestUntil(relay string, stop <-chan struct{}, unanswered *unansweredRequests) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(acceptorInterval):
		}
		wait.Go(func() {
			id := w.newID()
			c, err := w.open(fmt.Sprintf("u%d", n), relay, id, w.newID(), "status-watch", watchDeadline, "")
			if err != nil {
				return
			}
			answer := c.readAnswer(watchDeadline + time.Second)
			switch {
			case strings.HasPrefix(answer, "UP"):
				c.hold(2 * time.Second)
				return
			case answer == "":
				unanswered.add(id)
			}
			_ = c.conn.Close()
		})
	}
}

// judgeUnanswered checks that no request that a backend has received is without an answer.
func (w *world) judgeUnanswered(unanswered *unansweredRequests, runs *received) error {
	forwarded := 0
	for _, id := range unanswered.ids {
		if at := runs.of(id); len(at) > 0 {
			forwarded++
			w.logf("case      the request %s ran at %v and has no answer", id, at)
		}
	}
	w.logf("case      %d requests without an answer, %d of them had been forwarded", len(unanswered.ids), forwarded)
	if forwarded > 0 {
		return fmt.Errorf("%w: %d requests were forwarded to a backend and never answered", errRuleBroken, forwarded)
	}
	return nil
}
