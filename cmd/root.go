// Package cmd implements the commands of the wasabibank binary.
package cmd

import (
	"fmt"
	"io"
)

// ExitCode is the exit status of the process.
type ExitCode int

// Exit codes of all commands. ExitFailure is also the code of a check that has findings; invalid settings of an entry
// instance are ExitUsage.
const (
	ExitSuccess ExitCode = 0
	ExitFailure ExitCode = 1
	ExitUsage   ExitCode = 2
)

// command is one command of the binary, or one subcommand of a command.
type command struct {
	name    string
	summary string
	run     func(args []string, stdout, stderr io.Writer) ExitCode
}

// commands returns the commands in the order in which help lists them.
func commands() []command {
	return []command{
		entryCommand(),
		bundleCommand(),
		statusCommand(),
		ownerCommand(),
		timelineCommand(),
		loadCommand(),
		standinCommand(),
		measureCommand(),
	}
}

// Run runs the command that args[0] names and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) ExitCode {
	return runCommand("wasabibank", commands(), args, stdout, stderr)
}

// runCommand runs the one of cmds that args[0] names. program is the command line before args, for usage and errors.
func runCommand(program string, cmds []command, args []string, stdout, stderr io.Writer) ExitCode {
	if len(args) == 0 {
		printCommands(program, cmds, stderr)
		return ExitUsage
	}
	if isHelp(args[0]) {
		printCommands(program, cmds, stdout)
		return ExitSuccess
	}
	for _, c := range cmds {
		if c.name == args[0] {
			return c.run(args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "%s: unknown command %q\n", program, args[0])
	printCommands(program, cmds, stderr)
	return ExitUsage
}

func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

func printCommands(program string, cmds []command, w io.Writer) {
	fmt.Fprintf(w, "usage: %s COMMAND [flags]\n\ncommands:\n", program)
	for _, c := range cmds {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
	fmt.Fprintf(w,
		"\nRun %s COMMAND -h for help on a command.\nexit codes: 0 success, 1 findings or failure, 2 usage error\n", program)
}
