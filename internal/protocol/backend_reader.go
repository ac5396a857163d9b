package protocol

import "bytes"

// The words with which a backend's lines begin.
const (
	wordUp     = "UP"
	wordBye    = "BYE"
	wordMove   = "MOVE"
	wordError  = "ERR"
	wordBusy   = "BUSY"
	wordSyntax = "SYNTAX"
	wordLoad   = "LOAD"
)

// BackendReader reads what a backend sends: one first line, then lines to forward. Among those it looks for LOAD, and for
// BYE and MOVE, which give the reason for a close that follows.
type BackendReader struct {
	ReportFields []string // names of the fields of a load report, in order
	Established  bool     // UP has been received
	LastKind     LineKind // KindBye or KindMove once such a line has been forwarded, the later of them
	Load         float64  // of the last LOAD line with a value above 0 in the last Feed; 0: there was none
	Report       []float32
}

// Feed parses b, which holds all bytes that have been received and not consumed yet. It returns the kind and the length of
// the first line or, after UP, of all whole lines; the length is 0 with KindIncomplete. An error is a LineError.
func (r *BackendReader) Feed(b []byte) (kind LineKind, length int, err error) {
	if !r.Established {
		line, length, err := cutLine(b)
		if length == 0 {
			return KindIncomplete, 0, err
		}
		return r.readFirstLine(line), length, nil
	}
	r.Load = 0
	kind, length, err = feedWholeLines(b)
	for rest := b[:length]; len(rest) > 0; {
		end := bytes.IndexByte(rest, '\n') + 1
		r.observeLine(bytes.TrimRight(rest[:end], crlf))
		rest = rest[end:]
	}
	return kind, length, err
}

func (r *BackendReader) readFirstLine(line []byte) LineKind {
	word, rest := cutWord(line)
	switch string(word) {
	case wordUp:
		r.Established = true
		return KindUp
	case wordMove:
		return KindMove
	case wordBye:
		r.Report = ParseReport(rest, r.ReportFields)
		return KindBye
	case wordError:
		r.Report = ParseReport(rest, r.ReportFields)
		return KindError
	case wordBusy:
		r.Report = ParseReport(rest, r.ReportFields)
		return KindBusy
	case wordSyntax:
		return KindSyntax
	}
	return KindUnknown
}

// observeLine inspects a forwarded line for LOAD, BYE and MOVE.
func (r *BackendReader) observeLine(line []byte) {
	if !mayBeControlLine(line) {
		return
	}
	switch word, rest := cutWord(line); string(word) {
	case wordBye:
		r.LastKind = KindBye
	case wordMove:
		r.LastKind = KindMove
	case wordLoad:
		if load, err := parseNumber(rest); err == nil && load > 0 {
			r.Load = load
		}
	}
}

// mayBeControlLine rules out most lines by their first byte, at little cost: every line that a backend sends is checked.
func mayBeControlLine(line []byte) bool {
	if len(line) < len(wordBye) {
		return false
	}
	return line[0] == wordBye[0] || line[0] == wordMove[0] || line[0] == wordLoad[0]
}
