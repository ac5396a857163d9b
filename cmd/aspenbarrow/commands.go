package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/config"
)

// configVariable is the environment variable that names the configuration file.
const configVariable = "PROXY_CONFIG"

// newRootCommand returns the program's command line. Without a subcommand it serves the file that PROXY_CONFIG names.
func newRootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "aspenbarrow",
		Short:         "A balancer for long-lived connections",
		Long:          "Without a subcommand the program serves with the file that PROXY_CONFIG names: the platform's JSON, or TOML if its name ends in .toml.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return serveFromEnvironment() },
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	command.AddCommand(newServeCommand(), newCheckCommand(), newConfigCommand(), newRoutesCommand(), newMembersCommand(),
		newVersionCommand())
	markArgumentErrors(command)
	return command
}

// newGroupCommand returns a command that only holds subcommands and prints its help.
func newGroupCommand(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(subcommands...)
	return command
}

// markArgumentErrors wraps the argument errors of a command and all its subcommands in usageError.
func markArgumentErrors(command *cobra.Command) {
	if validate := command.Args; validate != nil {
		command.Args = func(command *cobra.Command, args []string) error {
			if err := validate(command, args); err != nil {
				return usageError{err}
			}
			return nil
		}
	}
	for _, subcommand := range command.Commands() {
		markArgumentErrors(subcommand)
	}
}

// addConfigFlag adds the flag of commands that read a configuration without serving it.
func addConfigFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "config", "", "configuration file; by default the file that PROXY_CONFIG names")
}

// loadConfig reads a configuration for a command that only inspects it. An empty path means the file that
// PROXY_CONFIG names.
func loadConfig(path string) (config.Config, error) {
	if path == "" {
		path = os.Getenv(configVariable)
	}
	if path == "" {
		return config.Config{}, usageError{errNoConfigFile}
	}
	loaded, err := config.Load(path, os.Getenv, false)
	if err != nil {
		return config.Config{}, usageError{fmt.Errorf("configuration: %w", err)}
	}
	return loaded, nil
}

// printJSON writes a value as indented JSON.
func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
