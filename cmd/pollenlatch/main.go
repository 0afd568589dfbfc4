// Command pollenlatch runs the router, and holds the commands to operate it.
package main

import (
	"os"

	"pollenlatch/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
