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
	full := &fake.Backend{Answer: func(string) []string { return []string{"BUSY", ""} }}
	good := &fake.Backend{}
	p, _, _ := startWithBackends(t, processOptions{}, full, good)
	for range 6 {
		p.openSession(openRequest(""))
	}
	if n := len(good.OpenLines()); n != 6 {
		t.Errorf("%d opens where 6 clients are up", n)
	}
}

func TestServe_DoesNotRetryCompletedRequest(t *testing.T) {
	b := &fake.Backend{Answer: func(string) []string { return []string{"BYE", ""} }}
	p, _, _ := startWithBackends(t, processOptions{}, b)
	c := p.dial()
	c.send(openRequest(""))
	c.expect("BYE")
	c.expectClosed()
	if n := len(b.OpenLines()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestServe_DoesNotRetryNonIdempotentRequest(t *testing.T) {
	broken := &fake.Backend{Answer: func(string) []string { return []string{"RESET"} }}
	also := &fake.Backend{Answer: broken.Answer}
	p, _, _ := startWithBackends(t, processOptions{}, broken, also)
	c := p.dial()
	c.send(strings.Replace(openRequest(""), "c=chat", "c=order", 1))
	c.expect("ERR")
	c.expectClosed()
	if n := len(broken.OpenLines()) + len(also.OpenLines()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestServe_AnswersWithinClientTimeout(t *testing.T) {
	b := &fake.Backend{Answer: func(string) []string { return nil }} // never answers
	p, _, _ := startWithBackends(t, processOptions{}, b)
	c := p.dial()
	asked := time.Now()
	c.send(strings.Replace(openRequest(""), "d=2000", "d=300", 1))
	got, err := c.reader.ReadString('\n')
	if took := time.Since(asked); err != nil || !strings.HasPrefix(got, "BUSY") || took < 250*time.Millisecond ||
		took > 2*time.Second {
		t.Fatalf("%q and %v after %v", got, err, took)
	}
	c.expectClosed()
}

// A backend that answers at the very end of the client's patience races with the
// relay's own time-out: the client hears one of both.
func TestServe_SendsOneFinalAnswerAtTimeout(t *testing.T) {
	b := &fake.Backend{Answer: func(open string) []string {
		m := regexp.MustCompile(`,d=(\d+),`).FindStringSubmatch(open)
		left, _ := strconv.Atoi(m[1])
		<-time.After(time.Duration(left) * time.Millisecond)
		return []string{"UP late"}
	}}
	p, _, _ := startWithBackends(t, processOptions{}, b)
	var all sync.WaitGroup
	for i := range 40 {
		c := p.dial()
		c.send(strings.Replace(openRequest(""), "d=2000", "d="+strconv.Itoa(100+i), 1))
		all.Add(1)
		go func() {
			defer all.Done()
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
	all.Wait()
}
