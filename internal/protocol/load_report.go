package protocol

import (
	"bytes"
	"slices"
)

// ParseReport parses a load report, "name=value,name=value", into the order of the given fields. It returns nil if a field
// is missing or is given twice, or if a number is invalid: of such a report no value is used. Names of other fields are those
// of another version; they are passed over, however often they occur.
func ParseReport(text []byte, fields []string) []float32 {
	if len(text) == 0 || len(fields) == 0 {
		return nil
	}
	report := make([]float32, len(fields))
	found := make([]bool, len(fields))
	for pair := range bytes.SplitSeq(text, []byte{','}) {
		name, number, _ := bytes.Cut(pair, []byte{'='})
		field := indexOf(fields, name)
		if field < 0 {
			continue
		}
		value, err := parseNumber(number)
		if err != nil || found[field] {
			return nil
		}
		report[field], found[field] = float32(value), true
	}
	if slices.Contains(found, false) {
		return nil
	}
	return report
}
