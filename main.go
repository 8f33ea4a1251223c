// Command wasabibank routes clients' requests to the backend servers that own their keys.
package main

import (
	"os"

	"github.com/wasabibank/wasabibank/cmd"
)

func main() {
	os.Exit(int(cmd.Run(os.Args[1:], os.Stdout, os.Stderr)))
}
