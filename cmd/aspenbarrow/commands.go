package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"aspenbarrow/internal/config"
)

func root() *cobra.Command {
	c := &cobra.Command{Use: "aspenbarrow", Short: "A balancer for long-lived connections",
		Long: "Alone it serves by the file that PROXY_CONFIG names: the platform's JSON, or TOML if its name ends in .toml.",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv("PROXY_CONFIG")
			if path == "" {
				return errors.New("configuration: PROXY_CONFIG names no file")
			}
			return serve(path)
		}}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage{err} })
	c.AddCommand(serveCommand(), checkCommand(), configCommand(), routesCommand(), membersCommand(), versionCommand())
	asUsage(c)
	return c
}

// asUsage has wrong arguments of any command exit as bad usage.
func asUsage(c *cobra.Command) {
	if args := c.Args; args != nil {
		c.Args = func(c *cobra.Command, a []string) error {
			if err := args(c, a); err != nil {
				return usage{err}
			}
			return nil
		}
	}
	for _, sub := range c.Commands() {
		asUsage(sub)
	}
}

func serveCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "serve", Short: "Serve by a file", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if path == "" {
			return usage{errors.New("serve wants --config FILE")}
		}
		err := serve(path)
		var faults config.Problems
		if errors.As(err, &faults) {
			return usage{err}
		}
		return err
	}}
	c.Flags().StringVar(&path, "config", "", "the file")
	return c
}

func checkCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "check FILE...", Short: "Say all that is wrong with files", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			faults, unsound := []config.Problem{}, 0
			for _, p := range paths {
				_, err := config.Load(p, os.Getenv, false)
				var fs config.Problems
				switch {
				case err == nil:
					continue
				case errors.As(err, &fs):
					faults = append(faults, fs...)
				default:
					faults = append(faults, config.Problem{File: p, Line: 1, Column: 1, Key: "(file)", Reason: err.Error(), Err: err})
				}
				unsound++
			}
			if asJSON {
				if err := printJSON(c.OutOrStdout(), faults); err != nil {
					return err
				}
			} else {
				for _, f := range faults {
					fmt.Fprintln(c.ErrOrStderr(), f.Error())
				}
			}
			if unsound > 0 {
				return usage{fmt.Errorf("%d of %d files are unsound, %d faults", unsound, len(paths), len(faults))}
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "the faults as JSON on standard output")
	return c
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "The configuration: an example, what is in force, a schema", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(&cobra.Command{Use: "example", Short: "A whole file with a comment for each key", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), config.ExampleTOML())
			return err
		}})
	c.AddCommand(&cobra.Command{Use: "schema", Short: "A JSON Schema of the file", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := config.JSONSchema()
			if err == nil {
				_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", s)
			}
			return err
		}})
	c.AddCommand(&cobra.Command{Use: "keys", Short: "All keys as a table in Markdown, for docs/configuration.md", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), config.MarkdownKeys())
			return err
		}})
	var path string
	var asJSON bool
	show := &cobra.Command{Use: "show", Short: "What is in force, and where each value came from", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := load(path)
			if err != nil {
				return err
			}
			list := cfg.EffectiveSettings(os.Getenv)
			if list == nil {
				return usage{errors.New("the platform's JSON has no keys of its own to show; give a TOML file")}
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), list)
			}
			for _, s := range list {
				fmt.Fprintf(c.OutOrStdout(), "%-32s %-28s %s\n", s.Key, s.Value, s.Source)
			}
			return nil
		}}
	show.Flags().StringVar(&path, "config", "", "the file; else what PROXY_CONFIG names")
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.AddCommand(show)
	return c
}

// load reads a file for a command that only looks at it.
func load(path string) (config.Config, error) {
	if path == "" {
		path = os.Getenv("PROXY_CONFIG")
	}
	if path == "" {
		return config.Config{}, usage{errors.New("--config FILE is missing, and PROXY_CONFIG names none")}
	}
	cfg, err := config.Load(path, os.Getenv, false)
	if err != nil {
		return config.Config{}, usage{fmt.Errorf("configuration: %w", err)}
	}
	return cfg, nil
}

func routesCommand() *cobra.Command {
	c := &cobra.Command{Use: "routes", Short: "The routes of requests", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	var path string
	var request config.RequestDescription
	var asJSON bool
	explain := &cobra.Command{Use: "explain", Short: "Which route takes a request, and its timing", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := load(path)
			if err != nil {
				return err
			}
			q, err := cfg.RoutingRequest(request)
			if err != nil {
				return usage{err}
			}
			e := cfg.ExplainRoute(q)
			if asJSON {
				return printJSON(c.OutOrStdout(), e)
			}
			fmt.Fprintf(c.OutOrStdout(), "route            %s\n", e.Route)
			for _, line := range e.RetryPolicy {
				fmt.Fprintf(c.OutOrStdout(), "%-16s %s\n", line.Key, line.Value)
			}
			return nil
		}}
	f := explain.Flags()
	f.StringVar(&path, "config", "", "the file; else what PROXY_CONFIG names")
	f.StringVar(&request.Class, "class", "", "the request's class")
	f.StringVar(&request.Tenant, "tenant", "", "its tenant")
	f.StringVar(&request.Group, "group", "", "its group, 16 hexadecimal digits")
	f.StringVar(&request.Key, "key", "", "its key, 16 hexadecimal digits")
	f.StringVar(&request.Protocol, "protocol", "line", "line or amqp")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	c.AddCommand(explain)
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "What this program was built from", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("the program does not know what it was built from")
			}
			revision := "unknown"
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					revision = s.Value
				}
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "aspenbarrow %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
			return err
		}}
}

func printJSON(to io.Writer, v any) error {
	e := json.NewEncoder(to)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
