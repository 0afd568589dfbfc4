// Command standin runs the scripts of the review: it starts the project's processes and
// stands in for the platform, its servers, its operator and its clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// trouble says that the disruption takes place.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	run, ok := map[string]func(*deployment) (bool, string){
		"rows":         overlappingRows,
		"foreign-beat": foreignBeat,
		"drain-queue":  drainQueue,
		"old-beat":     oldBeat,
		"lost-leave":   lostLeave,
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	d, err := newDeployment(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	current = d
	time.AfterFunc(115*time.Second, func() { fatal("the case takes too long") })
	broken, text := run(d)
	verdict := "the rule held"
	if broken {
		verdict = "the rule is broken"
	}
	d.log("%s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	d.close()
	if broken {
		os.Exit(1)
	}
}
