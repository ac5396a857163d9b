// Command aspenbarrow is a relay for long-lived connections: it accepts client connections and relays each of them to
// a backend of its choice. Further commands check and show a configuration and query a running relay for its members.
//
// Results go to standard output, errors and the log to standard error. The configuration is validated in full before
// the relay serves. The exit code is 2 for an invalid command line or file and 1 for any other failure. It is 1 as
// well if the relay itself is started with an invalid file that PROXY_CONFIG names, or one in the platform's JSON.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "aspenbarrow:", err)
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	if invalid := (usageError{}); errors.As(err, &invalid) {
		return exitUsage
	}
	return exitFailure
}
