// Command tool plays the scripts of the review. It starts the store's stand-in and entry instances as separate processes, and
// stands in for backend servers, clients and the platform itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration is how long a script may run before it ends as one that could not run; ending its processes takes some seconds more.
const maxDuration = 112 * time.Second

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cases are the scenarios by name. Each returns the violations of the rule that it checks.
var cases = map[string]func(c *cluster, trouble bool) ([]string, error){
	"late_rejection": lateRejection,
	"foreign_entry":  foreignEntryAtAddress,
	"unreadable_key": unreadableKey,
	"planned_stop":   plannedStop,
}

func main() {
	const argumentCount = 3
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: tool CASE RECORD_FILE")
		os.Exit(exitUnable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, recordPath string) int {
	scenario, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitUnable
	}
	c, err := newCluster(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	go c.closeEarly()
	defer c.close()
	violations, err := scenario(c, os.Getenv("TROUBLE") != "0")
	for _, text := range violations {
		c.record.line("VIOLATION %s", text)
		fmt.Println("broken:", text)
	}
	switch {
	case err != nil:
		c.record.line("UNABLE %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	case len(violations) > 0:
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// closeEarly ends all processes and the script when it is told to stop, or after maxDuration.
func (c *cluster) closeEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
	case <-time.After(maxDuration):
		fmt.Fprintln(os.Stderr, "the script takes too long")
	}
	c.close()
	os.Exit(exitUnable)
}
