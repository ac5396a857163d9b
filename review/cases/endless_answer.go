package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"aspenbarrow/review/standin"
)

const (
	// spoiltClients are the clients whose connections are judged; each sends a line every lineInterval.
	spoiltClients = 6
	lineInterval  = 2 * time.Second

	// soundFor is how long the backends answer every line at once. pieceInterval is the time between two pieces, of one byte each, of
	// the answers that never end after that.
	soundFor      = 5 * time.Second
	pieceInterval = 100 * time.Millisecond

	// silenceEnds is how long a connection may bring nothing back from a running backend until it is ended or moved.
	silenceEnds = 7 * time.Second

	// judgedFor is how long the clients stay after the answers have been spoilt.
	judgedFor = 20 * time.Second

	// leftFor is how long after the last client has left the relay is asked how many connections it has.
	leftFor = 3 * time.Second
)

// endlessAnswer has clients with connections that are up, and backends whose answers to lines begin and never end. Without the
// disruption every answer is whole.
func endlessAnswer(b *bed) error {
	var spoilt atomic.Bool
	_, servers, err := b.backends(3, func(backend *standin.Backend) {
		backend.AnswerLine = func(conn net.Conn, line string) error {
			text := "answer to " + line
			if !spoilt.Load() {
				_, err := fmt.Fprintf(conn, "%s\r\n", text)
				return err
			}
			b.record.Printf("answer  %s begins an answer to %s that does not end", backend.Name, line)
			for i := 0; ; i++ {
				if _, err := conn.Write([]byte{text[i%len(text)]}); err != nil {
					return err
				}
				time.Sleep(pieceInterval)
			}
		}
	})
	if err != nil {
		return err
	}
	agent, err := b.agent("agent", 0, 41, servers)
	if err != nil {
		return err
	}
	relay, _, _, err := b.managedRelay(agent, signingClasses("read_like"))
	if err != nil {
		return err
	}
	start := b.record.Now()
	results := make(chan string, spoiltClients)
	for range spoiltClients {
		client := standin.Connect(b.record, relay.Listen, "status-watch", 3200*time.Millisecond, "")
		b.onClose(client.Close)
		if !client.Up() {
			return fmt.Errorf("client %s is not served: %q", client.ID, client.Answer)
		}
		go func() { results <- b.followAnswers(client, start+soundFor+judgedFor) }()
	}
	b.until(start + soundFor)
	if b.trouble {
		b.record.Printf("note    from here on answers begin and do not end")
		spoilt.Store(true)
	}
	for range spoiltClients {
		if text := <-results; text != "" {
			b.breaks("%s", text)
		}
	}
	b.countOpen(relay)
	return nil
}

// countOpen writes to the record how many connections the relay still counts once all clients have left.
func (b *bed) countOpen(relay *standin.Relay) {
	time.Sleep(leftFor)
	figures, err := relay.Stats()
	b.record.Printf("note    %v after all clients have left the relay counts %v connections %s", leftFor, figures["concurrent"], errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// followAnswers sends a line every lineInterval until a time, and reads what comes back. It returns how the rule was broken, or
// nothing. A connection that ends or is moved is done with; the client leaves at the end.
func (b *bed) followAnswers(client *standin.Client, until time.Duration) string {
	defer client.Close()
	var lastLine atomic.Int64 // when the last line came back
	lastLine.Store(int64(b.record.Now()))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			line, err := client.Reader.ReadString('\n')
			if err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					b.record.Printf("end     %s: %q %v", client.ID, line, err)
				}
				return
			}
			b.record.Printf("answer  %s: %q", client.ID, line)
			lastLine.Store(int64(b.record.Now()))
		}
	}()
	for i := 1; b.record.Now() < until; i++ {
		b.record.Printf("sent    %s: line %d", client.ID, i)
		_, _ = fmt.Fprintf(client.Conn, "line %d\r\n", i)
		select {
		case <-ended:
			return ""
		case <-time.After(lineInterval):
		}
	}
	silence := b.record.Now() - time.Duration(lastLine.Load())
	if silence > silenceEnds+socketSlack {
		return fmt.Sprintf("the connection of %s has brought nothing back for %v and is neither ended nor moved", client.ID, silence)
	}
	return ""
}
