package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/config"
)

// newRoutesCommand returns the commands about the route table.
func newRoutesCommand() *cobra.Command {
	return newGroupCommand("routes", "Inspect the route table", newRoutesExplainCommand())
}

func newRoutesExplainCommand() *cobra.Command {
	var path string
	var request config.RequestDescription
	var asJSON bool
	command := &cobra.Command{
		Use:   "explain",
		Short: "Show the route that matches a request, and its retry policy",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return explainRoute(command.OutOrStdout(), path, request, asJSON)
		},
	}
	addConfigFlag(command, &path)
	flags := command.Flags()
	flags.StringVar(&request.Class, "class", "", "class of the request")
	flags.StringVar(&request.Tenant, "tenant", "", "tenant of the request")
	flags.StringVar(&request.Group, "group", "", "group of the request, 16 hexadecimal digits")
	flags.StringVar(&request.Key, "key", "", "key of the request, 16 hexadecimal digits")
	flags.StringVar(&request.Protocol, "protocol", "line", "protocol of the request, line or amqp")
	flags.BoolVar(&asJSON, "json", false, "print the route as JSON")
	return command
}

// explainRoute prints the route that matches a request and the retry policy in force for it.
func explainRoute(output io.Writer, path string, description config.RequestDescription, asJSON bool) error {
	loaded, err := loadConfig(path)
	if err != nil {
		return err
	}
	request, err := loaded.RoutingRequest(description)
	if err != nil {
		return usageError{err}
	}
	explanation := loaded.ExplainRoute(request)
	if asJSON {
		return printJSON(output, explanation)
	}
	fmt.Fprintf(output, "route            %s\n", explanation.Route)
	for _, line := range explanation.RetryPolicy {
		fmt.Fprintf(output, "%-16s %s\n", line.Key, line.Value)
	}
	return nil
}
