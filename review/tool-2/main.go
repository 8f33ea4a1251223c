// Command tool-2 runs the scripts of the second review: it starts entry instances as separate processes, with stand-ins of the platform's
// store, of backend servers and of clients in its own process, and judges what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs a case with its disruption, or without if trouble is false, and returns what broke the rule.
type scenario func(c *cluster, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"rolling-stop": rollingStop,
}

// errNoScenario says that there is no scenario of that name.
var errNoScenario = errors.New("unknown scenario")

func main() {
	dir := flag.String("dir", ".", "folder of the case, to which record.txt is written")
	program := flag.String("program", "target/wasabibank", "program of the entry instances")
	flag.Parse()
	broken, err := run(flag.Arg(0), *dir, *program, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case len(broken) > 0:
		for _, line := range broken {
			fmt.Println("broken:", line)
		}
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// run runs a scenario in a temporary folder and ends all that it has started.
func run(name, dir, program string, trouble bool) (broken []string, err error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, errNoScenario
	}
	record, err := newRecord(dir)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, record.close()) }()
	c, err := newCluster(record, program)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	record.write(time.Now(), "scenario %s, trouble %t", name, trouble)
	broken, err = s(c, trouble)
	for _, line := range broken {
		record.write(time.Now(), "broken: %s", line)
	}
	return broken, err
}
