package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/config"
)

// newCheckCommand returns the command that validates configuration files and reports every problem.
func newCheckCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate configuration files and report every problem",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			return checkFiles(command, paths, asJSON)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the problems as JSON to standard output")
	return command
}

// checkFiles validates files, prints their problems and returns an invalidFilesError if there are any.
func checkFiles(command *cobra.Command, paths []string, asJSON bool) error {
	problems, invalid := []config.Problem{}, 0 // not nil: JSON output without problems is an empty list
	for _, path := range paths {
		_, err := config.Load(path, os.Getenv, false)
		if err == nil {
			continue
		}
		invalid++
		problems = append(problems, problemsOf(path, err)...)
	}
	if err := printProblems(command, problems, asJSON); err != nil {
		return err
	}
	if invalid > 0 {
		return usageError{invalidFilesError{Invalid: invalid, Checked: len(paths), Problems: len(problems)}}
	}
	return nil
}

// problemsOf returns the problems that an error of config.Load holds. Any other error, such as that of a missing
// file, is one problem of the whole file.
func problemsOf(path string, err error) config.Problems {
	var problems config.Problems
	if errors.As(err, &problems) {
		return problems
	}
	return config.Problems{{File: path, Line: 1, Column: 1, Key: "(file)", Reason: err.Error(), Err: err}}
}

// printProblems writes problems as JSON to standard output, or one a line to standard error.
func printProblems(command *cobra.Command, problems []config.Problem, asJSON bool) error {
	if asJSON {
		return printJSON(command.OutOrStdout(), problems)
	}
	for _, problem := range problems {
		fmt.Fprintln(command.ErrOrStderr(), problem.Error())
	}
	return nil
}
