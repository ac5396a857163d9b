package testcluster

// lineSplitter splits a stream of chunks into lines.
type lineSplitter struct{ partial []byte }

func (splitter *lineSplitter) feed(b []byte, each func(line string)) {
	for _, c := range b {
		if c != '\n' {
			splitter.partial = append(splitter.partial, c)
			continue
		}
		line := splitter.partial
		if n := len(line); n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		each(string(line))
		splitter.partial = splitter.partial[:0]
	}
}
