package protocol

import (
	"bytes"
	"math"
	"strconv"
)

const idDigits = 16

// parseID parses an ID or a key: exactly 16 hexadecimal digits in lower case. If it could be written in two ways, one ID
// would be taken for two.
func parseID(b []byte) (uint64, error) {
	if len(b) != idDigits {
		return 0, ErrInvalidID
	}
	var id uint64
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9':
			id = id<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			id = id<<4 | uint64(c-'a'+10)
		default:
			return 0, ErrInvalidID
		}
	}
	return id, nil
}

// parseDecimal parses a number of a client: digits, optionally with a decimal point between them. Signs, exponents and
// whatever else ParseFloat accepts are not in the protocol's form, and a backend would close the connection on them.
func parseDecimal(b []byte) (float64, error) {
	whole, fraction, hasPoint := bytes.Cut(b, []byte{'.'})
	if !allDigits(whole) || hasPoint && !allDigits(fraction) || len(b) > maxNumberLength {
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

// parseNumber parses a number of a backend: whatever ParseFloat accepts, except infinities and NaN.
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
