package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// tablePadding is the number of spaces between the columns of a table.
const tablePadding = 2

// newMembersCommand returns the command that queries a running relay for the members of its fleet.
func newMembersCommand() *cobra.Command {
	var address string
	var asJSON bool
	command := &cobra.Command{
		Use:   "members",
		Short: "List the members of the fleet that a running relay reports",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if address == "" {
				return usageError{errMembersWithoutAddress}
			}
			return showMembers(command.OutOrStdout(), address, asJSON)
		},
	}
	command.Flags().StringVar(&address, "at", "", "address of the relay's admin endpoint")
	command.Flags().BoolVar(&asJSON, "json", false, "print the members as JSON")
	return command
}

// showMembers prints the members that the admin endpoint at the given address reports.
func showMembers(output io.Writer, address string, asJSON bool) error {
	lines, err := callAdmin(address, "MEMBERS")
	if err != nil {
		return err
	}
	var records []adminRecord
	for _, line := range lines {
		records = append(records, parseRecord(line))
	}
	if len(records) == 0 {
		return emptyAnswerError{Address: address}
	}
	if asJSON {
		return printJSON(output, records)
	}
	return printMembers(output, records[0], records[1:])
}

// printMembers writes a summary and a table with a row for each member.
func printMembers(output io.Writer, summary adminRecord, members []adminRecord) error {
	fmt.Fprintf(output, "%s of %s relays are active; own health %s (0 is best)\n",
		summary["here"], summary["of"], summary["own_health"])
	table := tabwriter.NewWriter(output, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(table, "relay\tname\tstate\tfor\tby\tround trip\thealth\t")
	for _, member := range members {
		printMember(table, member)
	}
	return table.Flush()
}

// printMember writes one row of the table.
func printMember(table io.Writer, member adminRecord) {
	timeInState := member.duration("since_ms", "ms").Round(time.Second)
	roundTrip := member.duration("round_trip_us", "us")
	note := ""
	if member["twice"] == "true" {
		note = "two processes send under this name"
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%s\t%v\t%s\t%s\n", member["member"], member["name"], member["state"], timeInState,
		member["by"], roundTrip, member["health"], note)
}
