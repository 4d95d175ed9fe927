package rig

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// Run runs a case and ends the program: with exitBroken if a rule was broken, with exitHeld if not,
// and with exitNotRun if the case could not run. run gets the record, the daemon's program and
// whether the disruption is to come.
func Run(run func(r *Record, binary string, trouble bool) ([]string, error)) {
	path := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("daemon", "target/cornelbayd", "program of the daemon")
	flag.Parse()
	os.Exit(exitCode(*path, *binary, run))
}

func exitCode(path, binary string, run func(*Record, string, bool) ([]string, error)) int {
	r, err := NewRecord(path)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		killAll()
		os.Exit(exitNotRun)
	}()
	broken, err := run(r, binary, os.Getenv("TROUBLE") != "0")
	if err = errors.Join(err, r.Close()); err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if len(broken) > 0 {
		fmt.Println("the rule was broken:", len(broken), "times")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
