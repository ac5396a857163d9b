package main

import (
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestServe_RetriesRefusedAttemptOnOtherBackendOnce(t *testing.T) {
	rejecting := &fake.Backend{Answer: func(string) []string { return []string{"BUSY", ""} }}
	accepting := &fake.Backend{}
	process, _, _ := startWithBackends(t, processOptions{}, rejecting, accepting)
	for range 6 {
		process.openSession(openRequest(""))
	}
	if n := len(accepting.OpenLines()); n != 6 {
		t.Errorf("%d requests reached the accepting backend for 6 sessions", n)
	}
}

func TestServe_DoesNotRetryCompletedRequest(t *testing.T) {
	backend := &fake.Backend{Answer: func(string) []string { return []string{"BYE", ""} }}
	process, _, _ := startWithBackends(t, processOptions{}, backend)
	c := process.dial()
	c.send(openRequest(""))
	c.expect("BYE")
	c.expectClosed()
	if n := len(backend.OpenLines()); n != 1 {
		t.Errorf("%d requests reached the backends, want 1", n)
	}
}

func TestServe_DoesNotRetryNonIdempotentRequest(t *testing.T) {
	resetting := &fake.Backend{Answer: func(string) []string { return []string{"RESET"} }}
	alternative := &fake.Backend{Answer: resetting.Answer}
	process, _, _ := startWithBackends(t, processOptions{}, resetting, alternative)
	c := process.dial()
	c.send(strings.Replace(openRequest(""), "c=chat", "c=order", 1))
	c.expect("ERR")
	c.expectClosed()
	if n := len(resetting.OpenLines()) + len(alternative.OpenLines()); n != 1 {
		t.Errorf("%d requests reached the backends, want 1", n)
	}
}

func TestServe_AnswersWithinClientTimeout(t *testing.T) {
	backend := &fake.Backend{Answer: func(string) []string { return nil }} // never answers
	process, _, _ := startWithBackends(t, processOptions{}, backend)
	c := process.dial()
	start := time.Now()
	c.send(strings.Replace(openRequest(""), "d=2000", "d=300", 1))
	got, err := c.reader.ReadString('\n')
	if took := time.Since(start); err != nil || !strings.HasPrefix(got, "BUSY") || took < 250*time.Millisecond ||
		took > 2*time.Second {
		t.Fatalf("got %q and %v after %v, want BUSY after 250 ms to 2 s", got, err, took)
	}
	c.expectClosed()
}

// TestServe_SendsOneFinalAnswerAtTimeout has the backend answer at the end of the client's timeout, at the same moment
// as the relay's own timeout: the client gets exactly one of the two answers.
func TestServe_SendsOneFinalAnswerAtTimeout(t *testing.T) {
	backend := &fake.Backend{Answer: func(open string) []string {
		match := regexp.MustCompile(`,d=(\d+),`).FindStringSubmatch(open)
		timeoutMS, _ := strconv.Atoi(match[1])
		<-time.After(time.Duration(timeoutMS) * time.Millisecond)
		return []string{"UP late"}
	}}
	process, _, _ := startWithBackends(t, processOptions{}, backend)
	var clients sync.WaitGroup
	for i := range 40 {
		c := process.dial()
		c.send(strings.Replace(openRequest(""), "d=2000", "d="+strconv.Itoa(100+i), 1))
		clients.Add(1)
		go func() {
			defer clients.Done()
			first, err := c.reader.ReadString('\n')
			if err != nil {
				t.Errorf("no answer: %v", err)
				return
			}
			if strings.HasPrefix(first, "UP") {
				return
			}
			if rest, _ := io.ReadAll(c.reader); len(rest) != 0 {
				t.Errorf("%q after the final answer %q", rest, first)
			}
		}()
	}
	clients.Wait()
}
