// Command kit-2 brings about the cases of the second review. It starts the project's programs as processes on loopback
// addresses, plays clients, replicas, the operator and the platform, and judges by what these see.
//
//	kit-2 ROOT CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(w *world) bool{"stalled-log": stalledLog, "lost-departure": lostDeparture, "lost-run": lostRun}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-2 ROOT CASE RECORD")
		return couldNot
	}
	w := newWorld(os.Args[1], os.Args[3])
	defer w.end()
	defer func() {
		if fault := recover(); fault != nil {
			w.log("%v", fault)
			fmt.Println(fault)
			code = couldNot
		}
	}()
	if cases[os.Args[2]](w) {
		w.log("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	w.log("the rule held")
	fmt.Println("the rule held")
	return held
}
