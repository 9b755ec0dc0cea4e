//go:build review

// Command rig runs the scripted cases of an independent review: rig CASE RECORD. It exits with 1 if the
// case's rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases return whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"emptied":         emptied,
	"empty-body":      emptyBody,
	"lost-answer":     lostAnswer,
	"new-route":       newRoute,
	"unsigned-answer": unsignedAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		killAll()
		os.Exit(2)
	}()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.log("%v: %v", errSetup, err)
		fmt.Println(errors.Join(errSetup, err))
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
