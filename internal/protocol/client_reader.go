package protocol

import "aspenbarrow/internal/settings"

// The words with which a client's first lines begin.
const (
	wordPing  = "PING"
	wordStats = "STATS"
	wordOpen  = "OPEN"
)

// ClientReader reads what a client sends: any number of PING and STATS lines, one OPEN line, then lines to forward.
type ClientReader struct {
	Settings *settings.Settings
	Open     Open // set once Feed has returned KindOpen
	Opened   bool
}

// Feed parses b, which holds all bytes that have been received and not consumed yet. It returns the kind and the length of
// the first line or, after OPEN, of all whole lines; the length is 0 with KindIncomplete. An error is a LineError.
func (r *ClientReader) Feed(b []byte) (kind LineKind, length int, err error) {
	if r.Opened {
		return feedWholeLines(b)
	}
	line, length, err := cutLine(b)
	if length == 0 {
		return KindIncomplete, 0, err
	}
	switch word, _ := cutWord(line); string(word) {
	case wordPing, wordStats:
		return KindPing, length, nil
	}
	if r.Open, err = ParseOpen(b[:length], r.Settings); err != nil {
		return KindUnknown, length, err
	}
	r.Opened = true
	return KindOpen, length, nil
}

func feedWholeLines(b []byte) (kind LineKind, length int, err error) {
	length, err = WholeLines(b)
	if length == 0 {
		return KindIncomplete, 0, err
	}
	return KindForward, length, nil
}
