package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// askWithin is how long a relay has for its answer.
const askWithin = 5 * time.Second

// ask makes one call at a relay's second address and returns the lines of its answer.
func ask(address, call string) ([]string, error) {
	c, err := net.DialTimeout("tcp", address, askWithin)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(askWithin))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return nil, err
	}
	var lines []string
	for in := bufio.NewScanner(c); in.Scan(); {
		line := in.Text()
		switch {
		case strings.HasPrefix(line, "FAILURE"):
			return nil, errors.New(strings.TrimSpace(strings.TrimPrefix(line, "FAILURE")))
		case line == "EOT":
			return lines, nil
		case line != "SUCCESS":
			lines = append(lines, line)
		}
	}
	return nil, fmt.Errorf("%s: the answer to %s was cut short", address, call)
}

// pairs reads "a=1 b=2".
func pairs(line string) map[string]string {
	out := map[string]string{}
	for _, f := range strings.Fields(line) {
		if name, v, ok := strings.Cut(f, "="); ok {
			out[name] = v
		}
	}
	return out
}

func membersCommand() *cobra.Command {
	var at string
	var asJSON bool
	c := &cobra.Command{Use: "members", Short: "Ask a running relay who of its fleet is there", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if at == "" {
				return usage{errors.New("members wants --at ADDRESS, a relay's second address")}
			}
			lines, err := ask(at, "MEMBERS")
			if err != nil {
				return err
			}
			var all []map[string]string
			for _, l := range lines {
				all = append(all, pairs(l))
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), all)
			}
			if len(all) == 0 {
				return fmt.Errorf("%s: an empty answer", at)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s of %s relays are there; own health %s (0 is best)\n", all[0]["here"], all[0]["of"], all[0]["own_health"])
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "relay\tname\tstate\tfor\tby\tround trip\thealth\t")
			for _, m := range all[1:] {
				since, _ := time.ParseDuration(m["since_ms"] + "ms")
				trip, _ := time.ParseDuration(m["round_trip_us"] + "us")
				note := ""
				if m["twice"] == "true" {
					note = "two processes speak under this name"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%v\t%s\t%s\n", m["member"], m["name"], m["state"], since.Round(time.Second), m["by"], trip, m["health"], note)
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&at, "at", "", "the relay's second address")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
