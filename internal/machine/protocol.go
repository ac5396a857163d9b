// Package machine holds the relay as machines: an event and the time go in, what to
// do comes out. It has no goroutine, socket, clock or randomness of its own; package
// relay drives it on sockets, package world on a virtual clock.
//
// This file owns the lines that clients and backends speak. Its state machines
// are fed bytes and answer with events; the bytes stay where the driver's buffer
// holds them. They must never know a socket, a clock or a goroutine, copy a
// line, or decide where a connection goes.
package machine

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// MaxLine is the longest line of the protocol, its CRLF included.
const MaxLine = 4096

// What an OPEN line holds at most: far over what any client sends.
const (
	mostNames  = 32
	mostWord   = 256
	mostDigits = 12
)

// What can be wrong with a line.
var (
	errOverlong = errors.New("line over 4 KiB")
	errBareLF   = errors.New("line ended by a bare LF")
	errSyntax   = errors.New("not a line of the protocol")
	errClass    = errors.New("unknown class")
	errNumber   = errors.New("bad number")
	errID       = errors.New("bad id")
	errTwice    = errors.New("a name comes twice")
)

// cut finds the first line of b. It returns the line without its CRLF and the
// bytes that it takes with it; 0 while the line is not whole.
func cut(b []byte) (line []byte, n int, err error) {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) >= MaxLine, i >= MaxLine:
		return nil, 0, errOverlong
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r':
		return nil, 0, errBareLF
	}
	return b[:i-1], i + 1, nil
}

// event says what a machine found in the bytes it was fed.
type event uint8

const (
	needMore event = iota // no whole line yet
	pinged                // PING or STATS
	opened                // OPEN
	passed                // whole lines to pass on
	up                    // the first line of a backend, and so the next ones
	bye
	moved
	failed
	busy
	unread // the backend cannot read what it was sent
	odd    // a first line that the protocol does not know
)

// clientLines is the machine of what a client sends: probes or one OPEN, then
// lines to pass on.
type clientLines struct {
	names *settings.Settings
	open  Open
	began bool
}

// feed looks at all bytes not yet consumed and returns how many its event takes.
func (m *clientLines) feed(b []byte) (event, int, error) {
	if m.began {
		n, err := wholeLines(b)
		if n == 0 {
			return needMore, 0, err
		}
		return passed, n, nil
	}
	line, n, err := cut(b)
	if n == 0 {
		return needMore, 0, err
	}
	if word, _, _ := bytes.Cut(line, space); string(word) == "PING" || string(word) == "STATS" {
		return pinged, n, nil
	}
	if m.open, err = parseOpen(b[:n], m.names); err != nil {
		return odd, n, err
	}
	m.began = true
	return opened, n, nil
}

// wholeLines is how many bytes of b are whole lines. A line may not outgrow the
// buffer; how it is ended is its sender's and its receiver's business.
func wholeLines(b []byte) (int, error) {
	n := bytes.LastIndexByte(b, '\n') + 1
	if n == 0 && len(b) >= MaxLine {
		return 0, errOverlong
	}
	return n, nil
}

// backendLines is the machine of what a backend sends: one first line, then
// lines to pass on. After UP it remembers the last word, which says how an end
// is meant.
type backendLines struct {
	fields []string // of a load report
	began  bool
	last   event     // bye or moved once such a line has passed
	load   float64   // the newest LOAD among the lines of the last feed; 0: none
	report []float32 // what came with the first line
}

var (
	space = []byte{' '}
	crlf  = []byte("\r\n")
)

func (m *backendLines) feed(b []byte) (event, int, error) {
	if !m.began {
		line, n, err := cut(b)
		if n == 0 {
			return needMore, 0, err
		}
		return m.first(line), n, nil
	}
	m.load = 0
	n, err := wholeLines(b)
	if n == 0 {
		return needMore, 0, err
	}
	for rest := b[:n]; len(rest) > 0; {
		i := bytes.IndexByte(rest, '\n') + 1
		m.word(bytes.TrimRight(rest[:i], "\r\n"))
		rest = rest[i:]
	}
	return passed, n, nil
}

func (m *backendLines) first(line []byte) event {
	word, rest, _ := bytes.Cut(line, space)
	switch string(word) {
	case "UP":
		m.began = true
		return up
	case "MOVE":
		return moved
	case "BYE":
		m.report = parseReport(rest, m.fields)
		return bye
	case "ERR":
		m.report = parseReport(rest, m.fields)
		return failed
	case "BUSY":
		m.report = parseReport(rest, m.fields)
		return busy
	}
	if string(word) == "SYNTAX" {
		return unread
	}
	return odd
}

// word takes in a line that is passed on.
func (m *backendLines) word(line []byte) {
	if len(line) < 3 || line[0] != 'B' && line[0] != 'L' && line[0] != 'M' {
		return
	}
	switch word, rest, _ := bytes.Cut(line, space); string(word) {
	case "BYE":
		m.last = bye
	case "MOVE":
		m.last = moved
	case "LOAD":
		if v, err := number(rest); err == nil && v > 0 {
			m.load = v
		}
	}
}

// Open is one OPEN line. All slices lie in the buffer that it came in.
type Open struct {
	line        []byte // with its CRLF
	left, right int    // where the value of d stands in line
	id          uint64
	at          []byte // the backend that already holds the connection
	Request     balance.Request
	patience    time.Duration
}

// parseOpen reads an OPEN line, CRLF and all. A backend closes on what it cannot
// read and the module must not count by it, so only the protocol's form passes:
// each name once, numbers written as decimals, nothing outside printable ASCII.
// Names that it does not know are let through: they are the backend's.
func parseOpen(line []byte, names *settings.Settings) (Open, error) {
	o := Open{line: line}
	words := bytes.Split(line[:len(line)-len(crlf)], space)
	if len(words) != 4 || string(words[0]) != "OPEN" {
		return o, errSyntax
	}
	var err error
	if o.id, err = hex(words[1]); err != nil {
		return o, err
	}
	if o.Request.Key, err = hex(words[2]); err != nil {
		return o, err
	}
	class := false
	at := len(words[0]) + len(words[1]) + len(words[2]) + 3
	pairs := bytes.Split(words[3], []byte{','})
	if len(pairs) > mostNames {
		return o, errSyntax
	}
	for i, pair := range pairs {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if !plain(name) || !plain(value) {
			return o, errSyntax
		}
		for _, other := range pairs[:i] {
			if bytes.HasPrefix(other, pair[:len(name)+1]) {
				return o, errTwice
			}
		}
		switch string(name) {
		case "c":
			class = true
			if o.Request.Class = index(names.ClassNames, value); o.Request.Class < 0 {
				return o, errClass
			}
		case "d":
			var ms float64
			ms, err = decimal(value)
			o.patience = settings.FromMilliseconds(ms)
			o.left, o.right = at+2, at+len(pair)
		case "g":
			o.Request.Group, err = hex(value)
		case "t":
			o.Request.Tenant = max(0, index(names.TenantNames, value))
		case "h":
			var ms float64
			ms, err = decimal(value)
			o.Request.ExpectedLoad = ms * 1000 // the guess is in milliseconds of work a second
		case "r":
			o.Request.ClientRetry, err = flag(value)
		case "again":
			o.Request.Reconnecting, err = flag(value)
		case "mid":
			o.Request.MidStream, err = flag(value)
			if !names.PassThrough { // nowhere else does a connection come to a relay unbroken
				err = errSyntax
			}
		case "at":
			o.at = value
		}
		if err != nil {
			return o, err
		}
		at += len(pair) + 1
	}
	if !class || o.right == 0 || o.Request.MidStream && o.at != nil {
		return o, errSyntax
	}
	// Nobody waits longer than the class's give-up time, whatever the line says.
	if most := names.Classes[o.Request.Class].ClientTimeout; most > 0 {
		o.patience = min(o.patience, most)
	}
	return o, nil
}

// plain says whether a name or a value is made of printable ASCII alone.
func plain(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || c == '=' {
			return false
		}
	}
	return len(b) > 0 && len(b) <= mostWord
}

// parseReport reads "a=1,b=2" into the order that the settings give. A report
// that lacks a field or holds a bad number is none.
func parseReport(text []byte, fields []string) []float32 {
	if len(text) == 0 || len(fields) == 0 {
		return nil
	}
	report := make([]float32, len(fields))
	found := 0
	for _, pair := range bytes.Split(text, []byte{','}) {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if i := index(fields, name); i >= 0 {
			v, err := number(value)
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

func index(names []string, name []byte) int {
	for i, n := range names {
		if n == string(name) {
			return i
		}
	}
	return -1
}

// hex reads an id or a key: 16 hexadecimal digits in lower case, no other way.
// Written in two ways, one id would be two.
func hex(b []byte) (uint64, error) {
	var v uint64
	if len(b) != 16 {
		return 0, errID
	}
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9':
			v = v<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			v = v<<4 | uint64(c-'a'+10)
		default:
			return 0, errID
		}
	}
	return v, nil
}

// decimal reads what a client writes as a number: digits, and perhaps a point
// between them. Signs, exponents and what ParseFloat takes besides are not of the
// protocol's form, and a backend would close on them.
func decimal(b []byte) (float64, error) {
	whole, rest, point := bytes.Cut(b, []byte{'.'})
	if !digits(whole) || point && !digits(rest) || len(b) > mostDigits {
		return 0, errNumber
	}
	return number(b)
}

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// number reads what a backend writes as one.
func number(b []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, errNumber
	}
	return v, nil
}

func flag(b []byte) (bool, error) {
	switch string(b) {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, errNumber
}

// Len is the length of the line in bytes, its CRLF included.
func (o *Open) Len() int { return len(o.line) }
