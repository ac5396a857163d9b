package protocol

import (
	"bytes"
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// The limits of an OPEN line; clients stay far below them.
const (
	maxParameters   = 32
	maxWordLength   = 256 // bytes of a parameter's name, or of its value
	maxNumberLength = 12  // bytes of a number, its decimal point included
)

// openWords is how many words an OPEN line has: OPEN, the ID, the key and the parameters.
const openWords = 4

// The names of an OPEN line's parameters.
const (
	nameClass        = "c"
	nameTimeout      = "d"
	nameGroup        = "g"
	nameTenant       = "t"
	nameExpectedLoad = "h"
	nameRetry        = "r"
	nameReconnect    = "again"
	nameMidStream    = "mid"
	nameHolder       = "at"
)

// loadPerMillisecond converts the expected load of an OPEN line into the balancer's unit, microseconds of work per second.
const loadPerMillisecond = 1000

// Open is a parsed OPEN line. Its slices point into the buffer that the line was parsed from.
type Open struct {
	Line                     []byte // with its CRLF
	timeoutStart, timeoutEnd int    // position of the time-out's digits in Line
	ID                       uint64
	Holder                   []byte // the backend that already holds the connection; nil: none
	Request                  balance.Request
	Timeout                  time.Duration // how long the client waits for its answer
}

// Len is the length of the line in bytes, its CRLF included.
func (o *Open) Len() int { return len(o.Line) }

// SplitAtTimeout returns the line before and after the digits of its time-out.
func (o *Open) SplitAtTimeout() (before, after []byte) {
	return o.Line[:o.timeoutStart], o.Line[o.timeoutEnd:]
}

// ParseOpen parses an OPEN line, its CRLF included. A backend closes a connection whose line it cannot parse, and that must
// not count against the backend, so only the protocol's form is accepted: each name once, numbers in decimal, nothing
// outside printable ASCII. Unknown names are accepted; they are for the backend. An error is a LineError.
func ParseOpen(line []byte, current *settings.Settings) (Open, error) {
	p := openParser{open: Open{Line: line}, settings: current}
	if err := p.parse(); err != nil {
		return Open{}, err
	}
	p.limitTimeout()
	return p.open, nil
}

// openParser is the state of one ParseOpen.
type openParser struct {
	open     Open
	settings *settings.Settings
	hasClass bool
}

func (p *openParser) parse() error {
	line := p.open.Line
	words := bytes.SplitN(line[:len(line)-len(crlf)], []byte(space), openWords+1)
	if len(words) != openWords || string(words[0]) != wordOpen {
		return LineError{Kind: KindOpen, Err: ErrSyntax}
	}
	var err error
	if p.open.ID, err = parseID(words[1]); err != nil {
		return LineError{Kind: KindOpen, Err: err}
	}
	if p.open.Request.Key, err = parseID(words[2]); err != nil {
		return LineError{Kind: KindOpen, Err: err}
	}
	start := len(line) - len(crlf) - len(words[3])
	if err := p.parseParameters(words[3], start); err != nil {
		return err
	}
	hasTimeout := p.open.timeoutEnd > 0
	if !p.hasClass || !hasTimeout || p.open.Request.MidStream && p.open.Holder != nil {
		return LineError{Kind: KindOpen, Err: ErrSyntax}
	}
	return nil
}

// parseParameters parses "name=value,name=value"; offset is the position of text in the line. It splits no further than to see
// that there are too many pairs: each one found takes memory, and a line has room for thousands.
func (p *openParser) parseParameters(text []byte, offset int) error {
	pairs := bytes.SplitN(text, []byte{','}, maxParameters+1)
	if len(pairs) > maxParameters {
		return LineError{Kind: KindOpen, Err: ErrSyntax}
	}
	for i, pair := range pairs {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if !isPrintable(name) || !isPrintable(value) {
			return LineError{Kind: KindOpen, Err: ErrSyntax}
		}
		nameAndEquals := pair[:len(name)+1]
		isSameName := func(earlier []byte) bool { return bytes.HasPrefix(earlier, nameAndEquals) }
		if slices.ContainsFunc(pairs[:i], isSameName) {
			return LineError{Kind: KindOpen, Parameter: string(name), Err: ErrDuplicateName}
		}
		if err := p.parseParameter(name, value, offset+len(nameAndEquals)); err != nil {
			return LineError{Kind: KindOpen, Parameter: string(name), Err: err}
		}
		offset += len(pair) + len(",")
	}
	return nil
}

// parseParameter parses one parameter; offset is the position of its value in the line.
func (p *openParser) parseParameter(name, value []byte, offset int) (err error) {
	request := &p.open.Request
	switch string(name) {
	case nameClass:
		p.hasClass = true
		request.Class = indexOf(p.settings.ClassNames, value)
		if request.Class < 0 {
			err = ErrUnknownClass
		}
	case nameTimeout:
		var milliseconds float64
		milliseconds, err = parseDecimal(value)
		p.open.Timeout = settings.FromMilliseconds(milliseconds)
		p.open.timeoutStart, p.open.timeoutEnd = offset, offset+len(value)
	case nameGroup:
		request.Group, err = parseID(value)
	case nameTenant:
		request.Tenant = max(0, indexOf(p.settings.TenantNames, value))
	case nameExpectedLoad:
		var milliseconds float64
		milliseconds, err = parseDecimal(value)
		request.ExpectedLoad = milliseconds * loadPerMillisecond
	case nameRetry:
		request.ClientRetry, err = parseFlag(value)
	case nameReconnect:
		request.Reconnecting, err = parseFlag(value)
	case nameMidStream:
		request.MidStream, err = p.parseMidStream(value)
	case nameHolder:
		p.open.Holder = value
	}
	return err
}

// parseMidStream parses the flag of an open connection that another relay has placed. Such a connection can reach this relay
// only if packets pass through it (PassThrough); otherwise the flag is refused.
func (p *openParser) parseMidStream(value []byte) (bool, error) {
	if !p.settings.PassThrough {
		return false, ErrSyntax
	}
	return parseFlag(value)
}

// limitTimeout caps the time-out at that of the class: no client waits longer than that, whatever its OPEN line asks for.
func (p *openParser) limitTimeout() {
	if limit := p.settings.Classes[p.open.Request.Class].ClientTimeout; limit > 0 {
		p.open.Timeout = min(p.open.Timeout, limit)
	}
}

// isPrintable reports whether a name or a value has a permitted length and is printable ASCII without "=".
func isPrintable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || c == '=' {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxWordLength
}

func indexOf(names []string, name []byte) int {
	for i, n := range names {
		if n == string(name) {
			return i
		}
	}
	return -1
}
