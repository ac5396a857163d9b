package protocol

import "bytes"

// ParseReport reads a load report, "name=value,name=value", into the order of the given fields. It returns nil where a
// field is missing or a number is bad: half a report says nothing.
func ParseReport(text []byte, fields []string) []float32 {
	if len(text) == 0 || len(fields) == 0 {
		return nil
	}
	report := make([]float32, len(fields))
	found := 0
	for pair := range bytes.SplitSeq(text, []byte{','}) {
		name, text, _ := bytes.Cut(pair, []byte{'='})
		field := indexOf(fields, name)
		if field < 0 { // a field of another version
			continue
		}
		value, err := parseNumber(text)
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
