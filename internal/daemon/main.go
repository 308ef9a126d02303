// Package daemon implements otterchute's daemon and the operators' command line.
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

// version is the program's version. The wire format is numbered separately.
const version = "0.1.0"

// Exit codes of all commands.
const (
	exitOK          = subcommands.ExitSuccess
	exitFailure     = subcommands.ExitFailure    // 1: request rejected, or doctor found a fault
	exitUsage       = subcommands.ExitUsageError // 2: invalid arguments or settings
	exitUnreachable = subcommands.ExitStatus(3)  // no daemon answered
)

// command implements subcommands.Command with plain fields.
type command struct {
	name, argsUsage, synopsis string
	bindFlags                 func(*flag.FlagSet)
	run                       func(context.Context, *flag.FlagSet) subcommands.ExitStatus
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string {
	return fmt.Sprintf("otterchute %s %s\n  %s\n", c.name, c.argsUsage, c.synopsis)
}
func (c *command) SetFlags(fs *flag.FlagSet) {
	if c.bindFlags != nil {
		c.bindFlags(fs)
	}
}
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, fs)
}

// Main runs the program: it parses the command line, runs one subcommand and
// exits with its code.
//
// Example: func main() { daemon.Main() }
func Main() {
	commander := subcommands.NewCommander(flag.CommandLine, "otterchute")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(runCommand(), "daemon")
	for _, c := range operatorCommands() {
		commander.Register(c, "operators")
	}
	commander.Register(
		&command{
			name:     "version",
			synopsis: "print the version",
			run: func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
				fmt.Printf("otterchute %s, wire %d\n", version, wire.FormatVersion)
				return exitOK
			},
		},
		"help",
	)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

// runCommand returns the command that runs a daemon until it is stopped.
func runCommand() *command {
	flags := &settingsFlags{}
	return &command{
		name:      "run",
		argsUsage: "[-settings FILE] [flags]",
		synopsis:  "run a daemon until it is stopped",
		bindFlags: flags.bindFlags,
		run: func(ctx context.Context, fs *flag.FlagSet) subcommands.ExitStatus {
			config, err := flags.load(fs)
			if err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", err)
				return exitUsage
			}
			app := fx.New(daemonModules(config))
			if err := app.Err(); err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", dig.RootCause(err))
				return exitUsage
			}
			if err := app.Start(ctx); err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", dig.RootCause(err))
				return exitFailure
			}
			<-app.Wait()
			stop, cancel := context.WithTimeout(context.Background(), 5*shutdownTimeoutMs*1e6)
			defer cancel()
			if err := app.Stop(stop); err != nil {
				fmt.Fprintln(os.Stderr, "otterchute:", err)
				return exitFailure
			}
			return exitOK
		},
	}
}
