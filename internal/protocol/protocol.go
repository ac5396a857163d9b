// Package protocol implements the grammar and codec of the operators' line protocol: the lines of clients and backends, the
// OPEN line, load reports, and the answers to clients. Its readers parse bytes in place, in the caller's buffer; they do no
// I/O.
package protocol

import "bytes"

// MaxLineLength is the longest line of the protocol in bytes, its CRLF included.
const MaxLineLength = 4096

const (
	space = " "
	crlf  = "\r\n"
)

// LineKind is the kind of line that a reader found.
type LineKind uint8

// The kinds of line.
const (
	KindIncomplete LineKind = iota // no complete line yet
	KindPing                       // PING or STATS of a client
	KindOpen                       // OPEN of a client
	KindForward                    // whole lines to forward to the other side
	KindUp                         // UP of a backend: the session is established
	KindBye                        // BYE of a backend
	KindMove                       // MOVE of a backend
	KindError                      // ERR of a backend
	KindBusy                       // BUSY of a backend
	KindSyntax                     // SYNTAX of a backend: it cannot parse what it received
	KindUnknown                    // a first line that is not part of the protocol
)

// cutLine finds the first line of b. It returns the line without its CRLF, and its length including the CRLF; the length is
// 0 while the line is not complete.
func cutLine(b []byte) (line []byte, length int, err error) {
	end := bytes.IndexByte(b, '\n')
	switch {
	case end < 0 && len(b) >= MaxLineLength, end >= MaxLineLength:
		return nil, 0, LineError{Err: ErrLineTooLong}
	case end < 0:
		return nil, 0, nil
	case end == 0 || b[end-1] != '\r':
		return nil, 0, LineError{Err: ErrBareLF}
	}
	return b[:end-1], end + 1, nil
}

// WholeLines returns how many bytes of b are whole lines. It fails with ErrLineTooLong if one line fills the buffer. Whether
// a line ends in CRLF or LF is not checked here; that is left to the side that receives it.
func WholeLines(b []byte) (length int, err error) {
	length = bytes.LastIndexByte(b, '\n') + 1
	if length == 0 && len(b) >= MaxLineLength {
		return 0, LineError{Kind: KindForward, Err: ErrLineTooLong}
	}
	return length, nil
}

// cutWord splits a line at its first space.
func cutWord(line []byte) (word, rest []byte) {
	word, rest, _ = bytes.Cut(line, []byte(space))
	return word, rest
}
