package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCould  = 2 // the case could not run
)

// longestRun ends a run that hangs, within the 120 s that a case may take.
const longestRun = 115 * time.Second

// A scenario plays one case on a running fleet. With trouble false it does the same without the disruption.
type scenario func(f *fleet, workers []*worker, trouble bool) error

// scenarios holds the scenario of each case by its name; the other cases add theirs in their own files.
var scenarios = map[string]scenario{"leave": leaveFirst}

// jobID returns a new id of 16 hex digits.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO ROOT RECORD")
		os.Exit(exitCould)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(s scenario, root, recordFile string) int {
	out, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCould
	}
	defer func() { _ = out.Close() }()
	rec := &record{out: out, begin: time.Now()}
	could := func(err error) int {
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCould
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return could(err)
	}
	dir, err := os.MkdirTemp("", "otterchute-review-")
	if err != nil {
		return could(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "kept:", dir)
	}
	f, err := newFleet(rec, root, dir)
	if err != nil {
		return could(err)
	}
	defer f.stopAll()
	go func() { // the processes also end when this one is told to end, or takes too long
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		f.stopAll()
		_ = os.RemoveAll(dir)
		os.Exit(exitCould)
	}()
	workers, err := f.boot()
	if err != nil {
		return could(err)
	}
	if err := s(f, workers, os.Getenv("TROUBLE") != "0"); err != nil {
		return could(err)
	}
	broken, starts, done := f.runs.verdict()
	rec.add("verdict   %d starts, %d done, %d breaks", starts, done, len(broken))
	fmt.Printf("%d starts, %d done, %d breaks\n", starts, done, len(broken))
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// load hands in jobs at a steady pace until stopped: enough to keep most of the workers busy.
func (f *fleet) load(stop chan struct{}, accepted *[]string) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			if id := jobID(); f.submit(id, 3, 16000, 5000) {
				*accepted = append(*accepted, id)
			}
		}
	}
}

// awaitRuns waits until a worker runs so many tasks, and reports whether it did.
func awaitRuns(w *worker, count int, patience time.Duration) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if w.count() >= count {
			return true
		}
	}
	return false
}

// withLoad plays a part under load, and then waits for the jobs to end.
func (f *fleet) withLoad(part func() error) error {
	stop, ended, accepted := make(chan struct{}), make(chan struct{}), []string{}
	go func() {
		f.load(stop, &accepted)
		close(ended)
	}()
	err := part()
	close(stop)
	<-ended
	if err != nil {
		return err
	}
	if len(accepted) == 0 {
		return fmt.Errorf("no job was accepted")
	}
	time.Sleep(14 * time.Second) // finish_s
	complete := 0
	for _, id := range accepted {
		status, state := f.state(id)
		f.add("client    GET %s -> %d %s", id, status, state)
		if state == "complete" {
			complete++
		}
	}
	f.add("client    %d of %d accepted jobs are complete", complete, len(accepted))
	fmt.Printf("%d of %d accepted jobs are complete\n", complete, len(accepted))
	return nil
}

// leaveFirst is case 1: a worker that is taken away in order sends DELETE /workers/ID without having said
// draining, serves on for drainMs and a little longer, and ends.
func leaveFirst(f *fleet, workers []*worker, trouble bool) error {
	return f.withLoad(func() error {
		w := workers[4]
		if !awaitRuns(w, 2, 20*time.Second) {
			return fmt.Errorf("the worker that is to leave got no work")
		}
		if trouble {
			status := 0
			for try := 0; try < 5 && (status < 200 || status > 299); try++ {
				status, _ = f.call(time.Second, "DELETE", f.control(w.machine), "/workers/"+w.id, "", nil, nil)
				f.add("worker    DELETE /workers/%s -> %d; %d tasks run there", w.id, status, w.count())
			}
			if status < 200 || status > 299 {
				return fmt.Errorf("the worker's leaving was not acknowledged")
			}
		}
		time.Sleep(3 * time.Second) // drainMs (2 s) and a little longer
		if trouble {
			w.down("it left in order")
		}
		time.Sleep(4 * time.Second)
		return nil
	})
}
