package protocol

import "bytes"

// ParseReport parses a load report, "name=value,name=value", into the order of the given fields. It returns nil if a field
// is missing or a number is invalid: an incomplete report is not used.
func ParseReport(text []byte, fields []string) []float32 {
	if len(text) == 0 || len(fields) == 0 {
		return nil
	}
	report := make([]float32, len(fields))
	found := 0
	for pair := range bytes.SplitSeq(text, []byte{','}) {
		name, number, _ := bytes.Cut(pair, []byte{'='})
		field := indexOf(fields, name)
		if field < 0 { // a field of another version
			continue
		}
		value, err := parseNumber(number)
		if err != nil {
			return nil
		}
		report[field] = float32(value)
		found++
	}
	if found != len(fields) {
		return nil
	}
	return report
}
