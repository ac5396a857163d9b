package settings

import (
	"encoding/json"
	"math"
)

// WholeNumber is an int that a JSON text may also write with a fraction of zero or with an exponent, as in 4.0 or 4e0. The
// errors for all other values are those of an int.
type WholeNumber int

// maxWholeNumber is the largest whole number that is read from a fraction or an exponent: float64 is exact up to it.
const maxWholeNumber = 1 << 53

// UnmarshalJSON implements json.Unmarshaler.
func (n *WholeNumber) UnmarshalJSON(text []byte) error {
	integerErr := json.Unmarshal(text, (*int)(n))
	if integerErr == nil {
		return nil
	}
	var number float64
	if err := json.Unmarshal(text, &number); err != nil {
		return integerErr
	}
	if number != math.Trunc(number) || math.Abs(number) > maxWholeNumber {
		return integerErr
	}
	*n = WholeNumber(number)
	return nil
}
