// Command pollenlatch runs and drives the router.
package main

import (
	"os"

	"pollenlatch/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
