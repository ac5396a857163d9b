package protocol

import (
	"strconv"
	"time"
)

// Answers to a client, each a whole line.
const (
	AnswerFailed   = "ERR\r\n"  // final: the request failed
	AnswerMove     = "MOVE\r\n" // final: the client is to reconnect
	AnswerBye      = "BYE\r\n"  // final: the backend has ended the session before it was established
	AnswerReady    = "PONG\r\n" // to PING or STATS: the relay accepts sessions
	AnswerNotReady = "ERR\r\n"  // to PING or STATS: it accepts none
)

// The request lines of a health check.
const (
	RequestPing  = wordPing + crlf
	RequestStats = wordStats + crlf // with a load report in the answer
)

// WordPong begins a healthy backend's answer to PING and STATS.
const WordPong = "PONG"

// BusyAnswer returns the line that refuses a request. If retryAfter is above 0, the line states after how many milliseconds,
// rounded up, the client may retry.
func BusyAnswer(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return wordBusy + crlf
	}
	milliseconds := int64((retryAfter + time.Millisecond - 1) / time.Millisecond)
	return wordBusy + space + strconv.FormatInt(milliseconds, 10) + crlf
}
