package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// maxTime limits a case.
const maxTime = 110 * time.Second

var (
	errTooLong  = errors.New("the case takes too long")
	errNotReady = errors.New("the deployment did not get ready")
)

var cases = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	current = w
	time.AfterFunc(maxTime, func() { must(errTooLong) })
	broken := cases[os.Args[1]](w)
	if broken {
		w.note("the rule was broken")
	} else {
		w.note("the rule held")
	}
	w.close()
	if broken {
		fmt.Println("broken")
		os.Exit(1)
	}
	fmt.Println("held")
}
