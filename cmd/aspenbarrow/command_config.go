package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/config"
)

// newConfigCommand returns the commands about the configuration file.
func newConfigCommand() *cobra.Command {
	return newGroupCommand("config", "Show the configuration in force, its keys, an example and a schema",
		newConfigExampleCommand(), newConfigSchemaCommand(), newConfigKeysCommand(), newConfigShowCommand())
}

func newConfigExampleCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "example",
		Short: "Print a complete example file with a comment for each key",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := io.WriteString(command.OutOrStdout(), config.ExampleTOML())
			return err
		},
	}
}

func newConfigSchemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print a JSON Schema of the configuration file",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			schema, err := config.JSONSchema()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s\n", schema)
			return err
		},
	}
}

func newConfigKeysCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "keys",
		Short: "Print all keys as a Markdown table, for docs/configuration.md",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := io.WriteString(command.OutOrStdout(), config.MarkdownKeys())
			return err
		},
	}
}

func newConfigShowCommand() *cobra.Command {
	var path string
	var asJSON bool
	command := &cobra.Command{
		Use:   "show",
		Short: "Print each setting in force and the source of its value",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return showConfig(command.OutOrStdout(), path, asJSON)
		},
	}
	addConfigFlag(command, &path)
	command.Flags().BoolVar(&asJSON, "json", false, "print the settings as JSON")
	return command
}

// showConfig prints each setting in force with its source.
func showConfig(output io.Writer, path string, asJSON bool) error {
	loaded, err := loadConfig(path)
	if err != nil {
		return err
	}
	settings := loaded.EffectiveSettings(os.Getenv)
	if settings == nil {
		return usageError{errNoEffectiveSettings}
	}
	if asJSON {
		return printJSON(output, settings)
	}
	for _, setting := range settings {
		fmt.Fprintf(output, "%-32s %-28s %s\n", setting.Key, setting.Value, setting.Source)
	}
	return nil
}
