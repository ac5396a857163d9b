// Package protocol is the grammar and codec of the operators' line protocol: the lines of clients and backends, the OPEN
// line, load reports, and the answers to clients. Its readers are fed bytes and leave them in the caller's buffer; they
// do no I/O.
package protocol

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// MaxLineLength is the longest line of the protocol, its CRLF included.
const MaxLineLength = 4096

// What an OPEN line holds at most: far over what any client sends.
const (
	maxNames      = 32
	maxWordLength = 256
	maxDigits     = 12
)

// What can be wrong with a line.
var (
	ErrLineTooLong   = errors.New("line over 4 KiB")
	ErrBareLF        = errors.New("line ended by a bare LF")
	ErrSyntax        = errors.New("not a line of the protocol")
	ErrUnknownClass  = errors.New("unknown class")
	ErrInvalidNumber = errors.New("bad number")
	ErrInvalidID     = errors.New("bad id")
	ErrDuplicateName = errors.New("a name comes twice")
)

// cutLine finds the first line of b. It returns the line without its CRLF and the
// bytes that it takes with it; 0 while the line is not whole.
func cutLine(b []byte) (line []byte, n int, err error) {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) >= MaxLineLength, i >= MaxLineLength:
		return nil, 0, ErrLineTooLong
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r':
		return nil, 0, ErrBareLF
	}
	return b[:i-1], i + 1, nil
}

// LineKind says what a machine found in the bytes it was fed.
type LineKind uint8

const (
	KindIncomplete LineKind = iota // no whole line yet
	KindPing                       // PING or STATS
	KindOpen                       // OPEN
	KindForward                    // whole lines to pass on
	KindUp                         // the first line of a backend, and so the next ones
	KindBye
	KindMove
	KindError
	KindBusy
	KindSyntax  // the backend cannot read what it was sent
	KindUnknown // a first line that the protocol does not know
)

// ClientReader is the machine of what a client sends: probes or one OPEN, then
// lines to pass on.
type ClientReader struct {
	Settings *settings.Settings
	Open     Open
	Opened   bool
}

// Feed looks at all bytes not yet consumed and returns how many its event takes.
func (m *ClientReader) Feed(b []byte) (LineKind, int, error) {
	if m.Opened {
		n, err := WholeLines(b)
		if n == 0 {
			return KindIncomplete, 0, err
		}
		return KindForward, n, nil
	}
	line, n, err := cutLine(b)
	if n == 0 {
		return KindIncomplete, 0, err
	}
	if word, _, _ := bytes.Cut(line, space); string(word) == "PING" || string(word) == "STATS" {
		return KindPing, n, nil
	}
	if m.Open, err = ParseOpen(b[:n], m.Settings); err != nil {
		return KindUnknown, n, err
	}
	m.Opened = true
	return KindOpen, n, nil
}

// WholeLines is how many bytes of b are whole lines. A line may not outgrow the
// buffer; how it is ended is its sender's and its receiver's business.
func WholeLines(b []byte) (int, error) {
	n := bytes.LastIndexByte(b, '\n') + 1
	if n == 0 && len(b) >= MaxLineLength {
		return 0, ErrLineTooLong
	}
	return n, nil
}

// BackendReader is the machine of what a backend sends: one first line, then
// lines to pass on. After UP it remembers the last word, which says how an end
// is meant.
type BackendReader struct {
	ReportFields []string // of a load report
	Established  bool
	LastKind     LineKind  // bye or moved once such a line has passed
	Load         float64   // the newest LOAD among the lines of the last feed; 0: none
	Report       []float32 // what came with the first line
}

var (
	space = []byte{' '}
	crlf  = []byte("\r\n")
)

func (m *BackendReader) Feed(b []byte) (LineKind, int, error) {
	if !m.Established {
		line, n, err := cutLine(b)
		if n == 0 {
			return KindIncomplete, 0, err
		}
		return m.readFirstLine(line), n, nil
	}
	m.Load = 0
	n, err := WholeLines(b)
	if n == 0 {
		return KindIncomplete, 0, err
	}
	for rest := b[:n]; len(rest) > 0; {
		i := bytes.IndexByte(rest, '\n') + 1
		m.observeLine(bytes.TrimRight(rest[:i], "\r\n"))
		rest = rest[i:]
	}
	return KindForward, n, nil
}

func (m *BackendReader) readFirstLine(line []byte) LineKind {
	word, rest, _ := bytes.Cut(line, space)
	switch string(word) {
	case "UP":
		m.Established = true
		return KindUp
	case "MOVE":
		return KindMove
	case "BYE":
		m.Report = ParseReport(rest, m.ReportFields)
		return KindBye
	case "ERR":
		m.Report = ParseReport(rest, m.ReportFields)
		return KindError
	case "BUSY":
		m.Report = ParseReport(rest, m.ReportFields)
		return KindBusy
	}
	if string(word) == "SYNTAX" {
		return KindSyntax
	}
	return KindUnknown
}

// observeLine takes in a line that is passed on.
func (m *BackendReader) observeLine(line []byte) {
	if len(line) < 3 || line[0] != 'B' && line[0] != 'L' && line[0] != 'M' {
		return
	}
	switch word, rest, _ := bytes.Cut(line, space); string(word) {
	case "BYE":
		m.LastKind = KindBye
	case "MOVE":
		m.LastKind = KindMove
	case "LOAD":
		if v, err := parseNumber(rest); err == nil && v > 0 {
			m.Load = v
		}
	}
}

// Open is one OPEN line. All slices lie in the buffer that it came in.
type Open struct {
	Line                     []byte // with its CRLF
	timeoutStart, timeoutEnd int    // where the value of d stands in line
	ID                       uint64
	Holder                   []byte // the backend that already holds the connection
	Request                  balance.Request
	Timeout                  time.Duration
}

// ParseOpen reads an OPEN line, CRLF and all. A backend closes on what it cannot
// read and the module must not count by it, so only the protocol's form passes:
// each name once, numbers written as decimals, nothing outside printable ASCII.
// Names that it does not know are let through: they are the backend's.
func ParseOpen(line []byte, names *settings.Settings) (Open, error) {
	o := Open{Line: line}
	words := bytes.Split(line[:len(line)-len(crlf)], space)
	if len(words) != 4 || string(words[0]) != "OPEN" {
		return o, ErrSyntax
	}
	var err error
	if o.ID, err = parseID(words[1]); err != nil {
		return o, err
	}
	if o.Request.Key, err = parseID(words[2]); err != nil {
		return o, err
	}
	class := false
	at := len(words[0]) + len(words[1]) + len(words[2]) + 3
	pairs := bytes.Split(words[3], []byte{','})
	if len(pairs) > maxNames {
		return o, ErrSyntax
	}
	for i, pair := range pairs {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if !isPrintable(name) || !isPrintable(value) {
			return o, ErrSyntax
		}
		for _, other := range pairs[:i] {
			if bytes.HasPrefix(other, pair[:len(name)+1]) {
				return o, ErrDuplicateName
			}
		}
		switch string(name) {
		case "c":
			class = true
			if o.Request.Class = indexOf(names.ClassNames, value); o.Request.Class < 0 {
				return o, ErrUnknownClass
			}
		case "d":
			var ms float64
			ms, err = parseDecimal(value)
			o.Timeout = settings.FromMilliseconds(ms)
			o.timeoutStart, o.timeoutEnd = at+2, at+len(pair)
		case "g":
			o.Request.Group, err = parseID(value)
		case "t":
			o.Request.Tenant = max(0, indexOf(names.TenantNames, value))
		case "h":
			var ms float64
			ms, err = parseDecimal(value)
			o.Request.ExpectedLoad = ms * 1000 // the guess is in milliseconds of work a second
		case "r":
			o.Request.ClientRetry, err = parseFlag(value)
		case "again":
			o.Request.Reconnecting, err = parseFlag(value)
		case "mid":
			o.Request.MidStream, err = parseFlag(value)
			if !names.PassThrough { // nowhere else does a connection come to a relay unbroken
				err = ErrSyntax
			}
		case "at":
			o.Holder = value
		}
		if err != nil {
			return o, err
		}
		at += len(pair) + 1
	}
	if !class || o.timeoutEnd == 0 || o.Request.MidStream && o.Holder != nil {
		return o, ErrSyntax
	}
	// Nobody waits longer than the class's give-up time, whatever the line says.
	if most := names.Classes[o.Request.Class].ClientTimeout; most > 0 {
		o.Timeout = min(o.Timeout, most)
	}
	return o, nil
}

// isPrintable says whether a name or a value is made of printable ASCII alone.
func isPrintable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || c == '=' {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxWordLength
}

// ParseReport reads "a=1,b=2" into the order that the settings give. A report
// that lacks a field or holds a bad number is none.
func ParseReport(text []byte, fields []string) []float32 {
	if len(text) == 0 || len(fields) == 0 {
		return nil
	}
	report := make([]float32, len(fields))
	found := 0
	for _, pair := range bytes.Split(text, []byte{','}) {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if i := indexOf(fields, name); i >= 0 {
			v, err := parseNumber(value)
			if err != nil {
				return nil
			}
			report[i] = float32(v)
			found++
		}
	}
	if found != len(fields) {
		return nil
	}
	return report
}

func indexOf(names []string, name []byte) int {
	for i, n := range names {
		if n == string(name) {
			return i
		}
	}
	return -1
}

// parseID reads an id or a key: 16 hexadecimal digits in lower case, no other way.
// Written in two ways, one id would be two.
func parseID(b []byte) (uint64, error) {
	var v uint64
	if len(b) != 16 {
		return 0, ErrInvalidID
	}
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9':
			v = v<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			v = v<<4 | uint64(c-'a'+10)
		default:
			return 0, ErrInvalidID
		}
	}
	return v, nil
}

// parseDecimal reads what a client writes as a number: digits, and perhaps a point
// between them. Signs, exponents and what ParseFloat takes besides are not of the
// protocol's form, and a backend would close on them.
func parseDecimal(b []byte) (float64, error) {
	whole, rest, point := bytes.Cut(b, []byte{'.'})
	if !allDigits(whole) || point && !allDigits(rest) || len(b) > maxDigits {
		return 0, ErrInvalidNumber
	}
	return parseNumber(b)
}

func allDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// parseNumber reads what a backend writes as one.
func parseNumber(b []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, ErrInvalidNumber
	}
	return v, nil
}

func parseFlag(b []byte) (bool, error) {
	switch string(b) {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, ErrInvalidNumber
}

// Len is the length of the line in bytes, its CRLF included.
func (o *Open) Len() int { return len(o.Line) }

// SplitAtTimeout returns the line before and after the digits of its time-out.
func (o *Open) SplitAtTimeout() (before, after []byte) {
	return o.Line[:o.timeoutStart], o.Line[o.timeoutEnd:]
}
