// Package daemon is otterchute's daemon and its operators' command line.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"

	"otterchute/internal/wire"

	"github.com/google/subcommands"
	"go.uber.org/dig"
	"go.uber.org/fx"
)

// version is told by `otterchute version`; the wire form has its own number.
const version = "0.1.0"

// exit codes, the same for every command
const (
	exitOK          = subcommands.ExitSuccess
	exitFound       = subcommands.ExitFailure    // 1: refused, or doctor found something
	exitUsage       = subcommands.ExitUsageError // 2: words, settings
	exitUnreachable = subcommands.ExitStatus(3)  // nobody answered
)

// command is one subcommand as data.
type command struct {
	name, args, about string
	bind              func(*flag.FlagSet)
	do                func(context.Context, *flag.FlagSet) subcommands.ExitStatus
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.about }
func (c *command) Usage() string {
	return fmt.Sprintf("otterchute %s %s\n  %s\n", c.name, c.args, c.about)
}
func (c *command) SetFlags(fs *flag.FlagSet) {
	if c.bind != nil {
		c.bind(fs)
	}
}
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.do(ctx, fs)
}

// Main runs the program: it parses the command line, runs one subcommand and
// exits with its code.
//
// Example: func main() { daemon.Main() }
func Main() {
	cmd := subcommands.NewCommander(flag.CommandLine, "otterchute")
	cmd.Register(cmd.HelpCommand(), "help")
	cmd.Register(cmd.FlagsCommand(), "help")
	cmd.Register(runCommand(), "daemon")
	for _, c := range operatorCommands() {
		cmd.Register(c, "operators")
	}
	cmd.Register(
		&command{name: "version", about: "tell the version", do: func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
			fmt.Printf("otterchute %s, wire %d\n", version, wire.FormatVersion)
			return exitOK
		}},
		"help",
	)
	flag.Parse()
	os.Exit(int(cmd.Execute(context.Background())))
}

func runCommand() *command {
	f := &settingsFlags{}
	return &command{
		name:  "run",
		args:  "[-settings FILE] [flags]",
		about: "run a daemon until it is told to stop",
		bind:  f.bind,
		do: func(ctx context.Context, fs *flag.FlagSet) subcommands.ExitStatus {
			s, err := f.load(fs)
			if err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", err)
				return exitUsage
			}
			app := fx.New(daemonModules(s))
			if err := app.Err(); err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", dig.RootCause(err))
				return exitUsage
			}
			if err := app.Start(ctx); err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", dig.RootCause(err))
				return exitFound
			}
			<-app.Wait()
			stop, cancel := context.WithTimeout(context.Background(), 5*shutdownTimeoutMs*1e6)
			defer cancel()
			if err := app.Stop(stop); err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", err)
				return exitFound
			}
			return exitOK
		},
	}
}
