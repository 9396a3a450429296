package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}

// globalOptions are the options of every command.
type globalOptions struct {
	Address []string `long:"address" env:"MILLCTL_ADDRESS" env-delim:"," value-name:"IP:PORT" description:"administration API of an instance; further ones are tried if it does not answer"`
	Token   string   `long:"token" env:"MILLCTL_TOKEN" value-name:"TOKEN" description:"the operator's bearer token; prefer the environment variable, which other users do not see"`
	Output  string   `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// app holds the options and streams that all commands share.
type app struct {
	globalOptions
	ctx    context.Context
	stdout io.Writer
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) exitCode {
	a := &app{ctx: ctx, stdout: stdout}
	parser := flags.NewNamedParser("millctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operators' command line of amaranthmill"
	parser.LongDescription = exitCodeHelp
	if _, err := parser.AddGroup("Global options", "", &a.globalOptions); err != nil {
		return report(stderr, a.Output, err)
	}
	if err := addCommands(parser, a); err != nil {
		return report(stderr, a.Output, err)
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagErr.Message)
		return codeDone
	}
	return report(stderr, a.Output, err)
}

// command describes one subcommand: its name, its help texts and its options.
type command struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser, a *app) error {
	bundle, err := parser.AddCommand("bundle", "check, propose, compare, sign off and show bundles", "", &struct{}{})
	if err != nil {
		return err
	}
	keys, err := parser.AddCommand("keys", "make keys and tokens", "", &struct{}{})
	if err != nil {
		return err
	}
	quarantines, err := parser.AddCommand("quarantines", "list and lift quarantines of requests that crash endpoints", "", &struct{}{})
	if err != nil {
		return err
	}
	if err := addSubcommands(bundle, bundleCommands(a)); err != nil {
		return err
	}
	if err := addSubcommands(quarantines, quarantineCommands(a)); err != nil {
		return err
	}
	if err := addSubcommands(parser.Command, leavingCommands(a)); err != nil {
		return err
	}
	if err := addSubcommands(parser.Command, limitCommands(a)); err != nil {
		return err
	}
	if err := addSubcommands(parser.Command, capacityCommands(a)); err != nil {
		return err
	}
	if err := addSubcommands(parser.Command, reachCommands(a)); err != nil {
		return err
	}
	if err := addSubcommands(parser.Command, evacuationCommands(a)); err != nil {
		return err
	}
	if err := addSubcommands(keys, keyCommands(a)); err != nil {
		return err
	}
	return addSubcommands(parser.Command, fleetCommands(a))
}

func addSubcommands(parent *flags.Command, commands []command) error {
	for _, c := range commands {
		if _, err := parent.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}
