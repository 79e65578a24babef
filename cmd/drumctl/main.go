// Command drumctl writes, checks, explains and compares the configuration of barleydrum. It
// exits with 0 if all is good, 1 if something is refused, 2 if it was called wrongly.
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

// errRefused says that a configuration is refused; what for has been said.
var errRefused = errors.New("refused")

// run runs a command line and returns the exit code.
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

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:           "drumctl",
		Short:         "Write, check, explain and compare barleydrum's configuration",
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	config := &cobra.Command{
		Use:   "config",
		Short: "The operators' file and the platform's configuration",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	config.AddCommand(checkCommand(), explainCommand(), diffCommand(), writeCommand(), referenceCommand())
	c.AddCommand(config)
	return c
}

// outputFormat is the flag --format.
type outputFormat string

func (o *outputFormat) String() string { return string(*o) }
func (o *outputFormat) Type() string   { return "text|json" }

func (o *outputFormat) Set(text string) error {
	if text != "text" && text != "json" {
		return fmt.Errorf("%q: text or json", text)
	}
	*o = outputFormat(text)
	return nil
}

// addFlag adds --format to a command.
func (o *outputFormat) addFlag(c *cobra.Command) {
	*o = "text"
	c.Flags().Var(o, "format", "form of the output: text for people, json for machines")
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
