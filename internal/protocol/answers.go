package protocol

import (
	"strconv"
	"time"
)

// Final answers to a client.
const (
	AnswerFailed = "ERR\r\n"  // the request failed
	AnswerMove   = "MOVE\r\n" // the client is to connect anew
)

// BusyAnswer is the refusal line; a hold-off is rounded up to milliseconds.
func BusyAnswer(after time.Duration) string {
	if after <= 0 {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(int64((after+time.Millisecond-1)/time.Millisecond), 10) + "\r\n"
}
