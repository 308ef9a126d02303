// Command standin-2 holds the stand-ins of the second review: operators, clients and workers that follow the users'
// pages, and the runs of the review's scripts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	cantRun  = 2
	maxBreak = 12 // broken rules that are printed
)

var cases = map[string]func(c *trial) ([]string, error){
	"ends":    endsCase,
	"cut":     cutCase,
	"routes":  routesCase,
	"late":    lateCase,
	"cancels": cancelsCase,
}

// trial is one run of a case.
type trial struct {
	rec     *record
	fleet   *fleet
	trouble bool
}

// interrupted returns a channel of the signals that ask this program to end.
func interrupted() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	return signals
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return cantRun
	}
	root, folder := os.Args[2], os.Args[3]
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	f, err := newFleet(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	c := &trial{rec: rec, fleet: f, trouble: os.Getenv("TROUBLE") != "0"}
	rec.line("case %s, trouble %v", os.Args[1], c.trouble)
	type result struct {
		breaks []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		breaks, err := cases[os.Args[1]](c)
		results <- result{breaks, err}
	}()
	var r result
	select {
	case r = <-results:
	case s := <-interrupted():
		r.err = fmt.Errorf("ended by %v", s)
	case <-time.After(110 * time.Second):
		r.err = fmt.Errorf("the case took too long")
	}
	f.stop()
	switch {
	case r.err != nil:
		rec.line("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return cantRun
	case len(r.breaks) > 0:
		for i, b := range r.breaks {
			rec.line("broken: %s", b)
			if i < maxBreak {
				fmt.Println(b)
			}
		}
		fmt.Println("broken:", len(r.breaks), "times")
		return broken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return held
}
