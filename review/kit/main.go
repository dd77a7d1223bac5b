// Command kit plays the cases of the review: it starts the project's programs as separate
// processes on loopback addresses, plays the clients, the servers and the platform, and judges what
// these have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(s *system, trouble bool) int{
		"late-heartbeat": lateHeartbeat,
		"late-copy":      lateCopy,
		"replaced-core":  replacedCore,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE ROOT FOLDER")
		os.Exit(failed)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], root, filepath.Join(os.Args[3], "record.txt")))
}

func play(one func(s *system, trouble bool) int, root, path string) (code int) {
	rec := newRecord(path)
	s := newSystem(root, rec)
	defer s.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		s.stop()
		os.Exit(failed)
	}()
	defer func() {
		if fault := recover(); fault != nil {
			reason, ok := fault.(cannotRun)
			if !ok {
				panic(fault)
			}
			rec.say("the case could not run: %s", reason.reason)
			code = failed
		}
	}()
	return one(s, os.Getenv("TROUBLE") != "0")
}
