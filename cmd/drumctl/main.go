// Command drumctl writes, checks, explains and compares the configuration of barleydrum. It
// exits with 0 on success, 1 if a configuration is refused or, with diff --exit-code, differs, and 2
// on a wrong command line or another error. It contacts no sidecar; the rules are
// in packages check and config, which the sidecar uses too.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// errRefused makes run return 1. Its findings or differences have been printed already.
var errRefused = errors.New("refused")

// run executes a command line and returns the exit code. Errors other than errRefused are printed
// to errs.
func run(args []string, out, errs io.Writer) int {
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errs)
	switch err := c.Execute(); {
	case err == nil:
		return 0
	case errors.Is(err, errRefused):
		return 1
	default:
		fmt.Fprintf(errs, "drumctl: %v\n", err)
		return 2
	}
}

// rootCommand returns the command drumctl with its subcommands.
func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:           "drumctl",
		Short:         "Write, check, explain and compare barleydrum's configuration",
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	configCommand := &cobra.Command{
		Use:   "config",
		Short: "The operators' file and the platform's configuration",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	configCommand.AddCommand(checkCommand(), explainCommand(), diffCommand(), writeCommand(), referenceCommand())
	c.AddCommand(configCommand)
	return c
}

// outputFormat is the value of the flag --format: text or json. It implements pflag.Value.
type outputFormat string

func (o *outputFormat) String() string { return string(*o) }
func (o *outputFormat) Type() string   { return "text|json" }

func (o *outputFormat) Set(text string) error {
	if text != "text" && text != "json" {
		return fmt.Errorf("%q: neither text nor json", text)
	}
	*o = outputFormat(text)
	return nil
}

// addFlag adds --format to a command, with text as its default.
func (o *outputFormat) addFlag(c *cobra.Command) {
	*o = "text"
	c.Flags().Var(o, "format", "form of the output: text for people, json for machines")
}

// writeJSON writes v as indented JSON.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
