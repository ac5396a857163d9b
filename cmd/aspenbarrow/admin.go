package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"time"
)

// adminTimeout limits the time to connect to an admin endpoint and, separately, the time until its answer is complete.
const adminTimeout = 5 * time.Second

// Lines of the admin protocol that frame an answer.
const (
	adminSuccess       = "SUCCESS"
	adminFailurePrefix = "FAILURE"
	adminEnd           = "EOT"
)

// callAdmin sends one command to a relay's admin endpoint and returns the lines of its answer.
func callAdmin(address, command string) ([]string, error) {
	connection, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(connection, command+"\n"); err != nil {
		return nil, err
	}
	lines, complete, err := readAdminAnswer(connection)
	if !complete {
		return nil, truncatedAnswerError{Address: address, Command: command, Cause: err}
	}
	return lines, err
}

// readAdminAnswer returns the lines of an answer and whether the answer is complete. A FAILURE line completes an answer and is
// returned as an adminFailure error. The error of an incomplete answer is that of reading it, nil if the connection was closed.
func readAdminAnswer(input io.Reader) (lines []string, complete bool, err error) {
	scanner := bufio.NewScanner(input)
	for scanner.Scan() {
		line := scanner.Text()
		if reason, failed := strings.CutPrefix(line, adminFailurePrefix); failed {
			return nil, true, adminFailure(strings.TrimSpace(reason))
		}
		switch line {
		case adminSuccess:
		case adminEnd:
			return lines, true, nil
		default:
			lines = append(lines, line)
		}
	}
	return lines, false, scanner.Err()
}

// adminRecord is one line of an answer: its fields by name.
type adminRecord map[string]string

// parseRecord parses a line of the form "name=value name=value". Words without "=" are ignored.
func parseRecord(line string) adminRecord {
	record := adminRecord{}
	for _, word := range strings.Fields(line) {
		if name, value, ok := strings.Cut(word, "="); ok {
			record[name] = value
		}
	}
	return record
}

// duration returns the value of a field that holds a number in the given unit, 0 if the field is missing or no number.
func (r adminRecord) duration(name, unit string) time.Duration {
	duration, _ := time.ParseDuration(r[name] + unit)
	return duration
}
