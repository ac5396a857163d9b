package protocol

import (
	"strconv"
	"time"
)

// Answers to a client, each a whole line.
const (
	AnswerFailed   = "ERR\r\n"  // final: the request failed
	AnswerMove     = "MOVE\r\n" // final: the client is to connect anew
	AnswerBye      = "BYE\r\n"  // final: the backend has ended the session before it was established
	AnswerReady    = "PONG\r\n" // to PING or STATS: the relay takes sessions
	AnswerNotReady = "ERR\r\n"  // to PING or STATS: it takes none
)

// The lines that ask a backend for its health.
const (
	RequestPing  = wordPing + crlf
	RequestStats = wordStats + crlf // with a load report in the answer
)

// WordPong begins a healthy backend's answer to PING and STATS.
const WordPong = "PONG"

// BusyAnswer is the line that refuses a request. With a delay above 0 it says after how many milliseconds, rounded up, the
// client may come again.
func BusyAnswer(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return wordBusy + crlf
	}
	milliseconds := int64((retryAfter + time.Millisecond - 1) / time.Millisecond)
	return wordBusy + space + strconv.FormatInt(milliseconds, 10) + crlf
}
