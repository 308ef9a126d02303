package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { scenarios["rename"] = renameRoute }

// renameRoute: while jobs wait and run, one change of the configuration takes a route out and puts in
// another one, under another name, with the same host, pathPrefix and service.
func renameRoute(f *fleet, workers []*worker, trouble bool) error {
	var jobs []string
	for range 60 { // more than there is room for at once, so that most wait
		if id := jobID(); f.submit(id, 3, 16000, 4000) {
			jobs = append(jobs, id)
		}
	}
	if len(jobs) < 30 {
		return fmt.Errorf("only %d jobs were accepted", len(jobs))
	}
	time.Sleep(4 * time.Second) // over visible_ms
	name := "r-a3hwrr6"
	remove := []string{}
	if trouble {
		name, remove = "r-b4new77", []string{"r-a3hwrr6"}
	}
	change, _ := json.Marshal(map[string]any{"configVersion": 5,
		"upsert": map[string]any{"routes": []any{route(name, queuePath, 1)}}, "remove": map[string]any{"routes": remove}})
	if !f.order("PATCH", "/configuration", change, 3) {
		return fmt.Errorf("the change was not taken")
	}
	time.Sleep(30 * time.Second)
	_, startsBefore, _ := f.runs.verdict()
	time.Sleep(10 * time.Second)
	for _, id := range jobs {
		status, state := f.state(id)
		f.add("client    GET %s -> %d %s", id, status, state)
		if status == 410 || status == 404 {
			f.runs.other = append(f.runs.other, fmt.Sprintf("LOST: GET of the accepted job %s is answered %d", id, status))
		} else if state != "complete" {
			f.runs.other = append(f.runs.other, fmt.Sprintf("LOST: job %s is %q (%d) long after its turn", id, state, status))
		}
	}
	if _, starts, _ := f.runs.verdict(); starts == startsBefore && starts < 3*len(jobs) {
		f.runs.other = append(f.runs.other, fmt.Sprintf("LOST: %d of the %d accepted tasks were never started", 3*len(jobs)-starts, 3*len(jobs)))
	}
	return nil
}
