package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// revisionSetting is the key of the version control revision in the build information.
const revisionSetting = "vcs.revision"

// newVersionCommand returns the command that prints the program's version, revision and Go version.
func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the program's version, revision and Go version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			build, ok := debug.ReadBuildInfo()
			if !ok {
				return errNoBuildInfo
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "aspenbarrow %s, revision %s, %s\n",
				build.Main.Version, revisionOf(build), build.GoVersion)
			return err
		},
	}
}

// revisionOf returns the revision that a program was built from, or "unknown".
func revisionOf(build *debug.BuildInfo) string {
	for _, setting := range build.Settings {
		if setting.Key == revisionSetting {
			return setting.Value
		}
	}
	return "unknown"
}
