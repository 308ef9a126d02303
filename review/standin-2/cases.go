package main

import (
	"fmt"
	"syscall"
	"time"
)

// begin places and starts a fleet, has a configuration with one route taken and waits until all daemons are ready.
func (c *trial) begin(routes []map[string]any, machines ...*machine) error {
	if err := c.fleet.place(machines...); err != nil {
		return err
	}
	if err := c.fleet.startAll(); err != nil {
		return err
	}
	if err := c.fleet.operate("PUT", "/configuration", 0, configuration(1, routes...), 0); err != nil {
		return err
	}
	return c.fleet.waitReady()
}

func smallCore() []*machine {
	return []*machine{
		{name: "edge-a-1", zone: "fukuoka-a", disk: true}, {name: "edge-b-1", zone: "kumamoto-b", disk: true},
		{name: "edge-c-1", zone: "kagoshima-c", disk: true},
	}
}

// waitFor waits until a condition holds.
func waitFor(what string, limit time.Duration, condition func() bool) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}

// endsCase: the daemon beside a worker is killed and starts again while more ends are open than one beat lists.
func endsCase(c *trial) ([]string, error) {
	const tasks, takes = 620, 4 * time.Second
	side := &machine{name: "side-a-1", zone: "fukuoka-a", side: true}
	other := &machine{name: "side-b-1", zone: "kumamoto-b", side: true}
	if err := c.begin([]map[string]any{route("r-1", "/lohu930/")}, append(smallCore(), side, other)...); err != nil {
		return nil, err
	}
	ctx := c.fleet.ctx
	took := func(string) time.Duration { return takes }
	w := c.fleet.newWorker("i-7f3a91c2", side, []string{"a", "r1-1"}, took)
	o := c.fleet.newWorker("i-58e0b7d4", other, []string{"b", "r2-1"}, took)
	go w.work(ctx)
	go o.work(ctx)
	time.Sleep(2 * time.Second)
	id := "5c0e7a21d94b36f8"
	err := c.fleet.submit("/lohu930/", id, step{Count: tasks, CPU: 100, TaskMemoryMb: 100,
		EstimateMs: takes.Milliseconds(), RequiredLabels: []string{"a"}})
	if err != nil {
		return nil, err
	}
	if err := waitFor("all tasks run", 20*time.Second, func() bool { n, _ := w.counts(); return n == tasks }); err != nil {
		return nil, err
	}
	if c.trouble {
		time.Sleep(takes - 1500*time.Millisecond)
		c.fleet.signal(side, syscall.SIGKILL)
		<-side.exited
		if err := waitFor("all tasks end", 10*time.Second, func() bool { n, _ := w.counts(); return n == 0 }); err != nil {
			return nil, err
		}
		if err := c.fleet.start(side, false); err != nil {
			return nil, err
		}
	}
	_ = waitFor("the job completes", 25*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		return c.fleet.state(c.fleet.machines[1], "/lohu930/", id) == "complete"
	})
	time.Sleep(2 * time.Second)
	return judgeTwice(c.rec, w, o), nil
}

// routesCase: a change removes a queue, and many others, while a job that was accepted there is half done.
func routesCase(c *trial) ([]string, error) {
	const others, takes = 350, 3 * time.Second
	side := &machine{name: "side-a-1", zone: "fukuoka-a", side: true}
	keep, old := route("r-keep", "/keep001/"), route("r-job", "/lohu930/")
	all := []map[string]any{keep, old}
	for i := range others {
		all = append(all, route(fmt.Sprintf("r-idle-%03d", i), fmt.Sprintf("/pule%03d/", i)))
	}
	if err := c.begin([]map[string]any{keep, old}, append(smallCore(), side)...); err != nil {
		return nil, err
	}
	if err := c.fleet.operate("PUT", "/configuration", 1, configuration(2, all...), 1); err != nil {
		return nil, err
	}
	ctx := c.fleet.ctx
	w := c.fleet.newWorker("i-7f3a91c2", side, []string{"a", "r1-1"}, func(string) time.Duration { return takes })
	go w.work(ctx)
	time.Sleep(2 * time.Second)
	id := "5c0e7a21d94b36f8"
	err := c.fleet.submit("/lohu930/", id,
		step{Count: 2, CPU: 1000, TaskMemoryMb: 100, EstimateMs: takes.Milliseconds()},
		step{Count: 2, CPU: 1000, TaskMemoryMb: 100, EstimateMs: takes.Milliseconds(), DependsOn: []int{0}})
	if err != nil {
		return nil, err
	}
	if err := waitFor("the first step runs", 20*time.Second, func() bool { n, _ := w.counts(); return n == 2 }); err != nil {
		return nil, err
	}
	if c.trouble {
		if err := c.fleet.operate("PUT", "/configuration", 2, configuration(3, keep), 2); err != nil {
			return nil, err
		}
	}
	if err := waitFor("the first step ends", 20*time.Second, func() bool { _, n := w.counts(); return n == 2 }); err != nil {
		return nil, err
	}
	turnMs := c.rec.nowMs()
	// The rule allows 3 s; the script waits 20 s, five times the longest bound for an acknowledgement.
	waits := waitFor("the second step starts", 20*time.Second, func() bool { n, _ := w.counts(); return n > 0 })
	if waits != nil {
		c.rec.line("nothing of job %s has run since %d ms; the worker is idle", id, turnMs)
		return []string{fmt.Sprintf(
			"LOST: job %s: no task runs for %d ms, while the turn of its second step has come and the only worker is idle",
			id, c.rec.nowMs()-turnMs)}, nil
	}
	return nil, waitFor("the second step ends", 20*time.Second, func() bool { _, n := w.counts(); return n == 4 })
}

// cancelsCase: all processes of the core are killed at once, after many accepted jobs were cancelled. The platform kills
// a process that is over its memory, and starts each one again.
func cancelsCase(c *trial) ([]string, error) {
	const (
		jobs, wide = 1100, 300
		recoveryS  = 12
		asked      = 60
	)
	side := &machine{name: "side-a-1", zone: "fukuoka-a", side: true}
	if err := c.begin([]map[string]any{route("r-1", "/lohu930/")}, append(smallCore(), side)...); err != nil {
		return nil, err
	}
	ctx := c.fleet.ctx
	w := c.fleet.newWorker("i-7f3a91c2", side, []string{"a", "r1-1"}, func(string) time.Duration { return time.Second })
	go w.work(ctx)
	p := c.fleet.watchMemory(ctx)
	time.Sleep(2 * time.Second)
	same := step{Count: wide, CPU: 3200, TaskMemoryMb: 4600, EstimateMs: 1400, RequiredLabels: []string{"ssd"}}
	second, third := same, same
	second.DependsOn, third.DependsOn = []int{0}, []int{1}
	cancelled := 0
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		m := c.fleet.machines[i%3]
		handed, _ := c.fleet.post(m, "/lohu930/", id, same, second, third)
		status, _ := call("DELETE", "http://"+c.fleet.address(m, frontPort)+"/lohu930/"+id, host,
			map[string]string{"Otterchute-Deadline-Ms": "3000"}, nil, 3*time.Second)
		c.rec.line("client POST %s to %s: %d, DELETE: %d", id, m.name, handed, status)
		if handed == 200 && status == 200 {
			cancelled++
		}
	}
	c.rec.line("%d of %d jobs were accepted and cancelled", cancelled, jobs)
	fmt.Printf("%d of %d jobs were accepted and cancelled\n", cancelled, jobs)
	time.Sleep(3 * time.Second)
	served, _ := c.ask("5c0e7a21d95a", asked)
	if 4*served < asked {
		return nil, fmt.Errorf("only %d of %d requests are served before the kill", served, asked)
	}
	if c.trouble {
		for _, m := range c.fleet.edges() {
			c.fleet.signal(m, syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second + recoveryS*time.Second)
	served, sent := c.ask("5c0e7a21d95b", asked)
	for _, m := range c.fleet.edges() {
		c.rec.line("%s used up to %d MB; the platform ended it %d times for its memory", m.name, p.most(m), p.kills(m))
		fmt.Printf("%s used up to %d MB; the platform ended it %d times for its memory\n", m.name, p.most(m), p.kills(m))
	}
	if 4*served < sent {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests are served, sent %d s and more after the core came back",
			served, sent, recoveryS)}, nil
	}
	return nil, nil
}

// ask hands small jobs in, one every 0.2 s, each at another daemon, with a further try at the next one, and returns how
// many were served.
func (c *trial) ask(prefix string, count int) (served, sent int) {
	results := make(chan bool, count)
	for i := range count {
		go func() {
			for try := range 2 {
				status, _ := c.fleet.post(c.fleet.edges()[(i+try)%3], "/lohu930/", fmt.Sprintf("%s%04x", prefix, i),
					step{Count: 1, CPU: 1000, EstimateMs: 1000})
				c.rec.line("client POST %s%04x: %d", prefix, i, status)
				if status == 200 {
					results <- true
					return
				}
			}
			results <- false
		}()
		time.Sleep(200 * time.Millisecond)
	}
	for range count {
		if <-results {
			served++
		}
	}
	return served, count
}

// cutCase: a busy worker is cut off and runs on; meanwhile more of its runs end than one beat lists, and among them are
// some that it began just before the cut.
func cutCase(c *trial) ([]string, error) {
	const takes = time.Second
	side := &machine{name: "side-a-1", zone: "fukuoka-a", side: true}
	other := &machine{name: "side-b-1", zone: "kumamoto-b", side: true}
	if err := c.begin([]map[string]any{route("r-1", "/lohu930/")}, append(smallCore(), side, other)...); err != nil {
		return nil, err
	}
	ctx := c.fleet.ctx
	took := func(string) time.Duration { return takes }
	w := c.fleet.newWorker("i-7f3a91c2", side, []string{"a", "r1-1"}, took)
	o := c.fleet.newWorker("i-58e0b7d4", other, []string{"b", "r2-1"}, took)
	go w.work(ctx)
	go o.work(ctx)
	time.Sleep(2 * time.Second)
	ids := []string{"5c0e7a21d94b36f8", "5c0e7a21d94b36f9", "5c0e7a21d94b36fa"}
	for _, id := range ids {
		if err := c.fleet.submit("/lohu930/", id, step{Count: 1000, CPU: 100, TaskMemoryMb: 100, EstimateMs: 3000,
			RequiredLabels: []string{"a"}}); err != nil {
			return nil, err
		}
	}
	if err := waitFor("the worker is busy", 20*time.Second, func() bool { n, ended := w.counts(); return n > 560 && ended > 100 }); err != nil {
		return nil, err
	}
	if c.trouble { // the cut begins soon after an order, as most answers to this worker carry some
		err := waitFor("an answer with some starts", 10*time.Second, func() bool {
			n, _ := w.counts()
			return n > 560 && w.lastOrdered() >= 10
		})
		if err != nil {
			return nil, err
		}
		w.cut(3 * time.Second)
	}
	_ = waitFor("the jobs complete", 40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		for _, id := range ids {
			if c.fleet.state(c.fleet.machines[1], "/lohu930/", id) != "complete" {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	return judgeTwice(c.rec, w, o), nil
}

// lateCase: two beats of a worker come some seconds late, as the first ones that its restarted daemon gets.
func lateCase(c *trial) ([]string, error) {
	const takes = 6 * time.Second
	side := &machine{name: "side-a-1", zone: "fukuoka-a", side: true}
	other := &machine{name: "side-b-1", zone: "kumamoto-b", side: true}
	if err := c.begin([]map[string]any{route("r-1", "/lohu930/")}, append(smallCore(), side, other)...); err != nil {
		return nil, err
	}
	ctx := c.fleet.ctx
	took := func(string) time.Duration { return takes }
	w := c.fleet.newWorker("i-7f3a91c2", side, []string{"a", "r1-1"}, took)
	o := c.fleet.newWorker("i-58e0b7d4", other, []string{"a", "r2-1"}, took)
	go w.work(ctx)
	go o.work(ctx)
	time.Sleep(3 * time.Second)
	if c.trouble {
		w.delayBeats(2)
		time.Sleep(2500 * time.Millisecond)
	}
	err := c.fleet.submit("/lohu930/", "5c0e7a21d94b36f8",
		step{Count: 2, CPU: 20000, TaskMemoryMb: 100, EstimateMs: takes.Milliseconds()})
	if err != nil {
		return nil, err
	}
	if err := waitFor("a task runs", 10*time.Second, func() bool { n, _ := w.counts(); return n >= 1 }); err != nil {
		return nil, err
	}
	if c.trouble {
		c.fleet.signal(side, syscall.SIGKILL)
		<-side.exited
		time.Sleep(2150 * time.Millisecond)
		if err := c.fleet.start(side, false); err != nil {
			return nil, err
		}
		w.sendLate()
	}
	time.Sleep(10 * time.Second)
	return judgeTwice(c.rec, w, o), nil
}
