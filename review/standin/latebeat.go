package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// lateBy is how late the beat comes.
const lateBy = 4 * time.Second

func init() { scenarios["latebeat"] = lateBeat }

// delayProxy accepts one connection on a loopback address, holds what comes on it back for a while, and
// delivers it then to the daemon.
func (f *fleet) delayProxy(to string, hold time.Duration) (addr string, delivered chan string, err error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	delivered = make(chan string, 1)
	go func() {
		defer func() { _ = ln.Close() }()
		in, err := ln.Accept()
		if err != nil {
			delivered <- err.Error()
			return
		}
		defer func() { _ = in.Close() }()
		_ = in.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		request, _ := io.ReadAll(in) // the whole beat is sent at once
		time.Sleep(hold)
		out, err := net.Dial("tcp4", to)
		if err != nil {
			delivered <- err.Error()
			return
		}
		defer func() { _ = out.Close() }()
		_ = out.SetDeadline(time.Now().Add(time.Second))
		_, _ = out.Write(request)
		answer := make([]byte, 4096)
		n, _ := out.Read(answer)
		line, _, _ := strings.Cut(string(answer[:n]), "\r\n")
		delivered <- line
	}()
	return ln.Addr().String(), delivered, nil
}

// lateBeat is case 2: a beat of a worker comes seconds late. The worker has crashed meanwhile, and its next
// life, under a new id, is at work on the same machine. With TROUBLE=crash there is the crash and no late beat.
func lateBeat(f *fleet, workers []*worker, trouble bool) error {
	late, crash := trouble && os.Getenv("TROUBLE") != "crash", trouble
	return f.withLoad(func() error {
		index := 4
		first := workers[index]
		if !awaitRuns(first, 2, 20*time.Second) {
			return fmt.Errorf("the worker that is to crash got no work")
		}
		var delivered chan string
		if late {
			addr, answered, err := f.delayProxy(f.control(first.machine), lateBy)
			if err != nil {
				return err
			}
			delivered = answered
			go f.call(time.Second, http.MethodPut, addr, "/workers/"+first.id, "", first.beat(), nil)
			f.add("worker    %s sends beat %d, which will come %v late", first.id, first.sequence, lateBy)
			time.Sleep(50 * time.Millisecond)
		}
		second := first
		if crash {
			first.down("crash")
			time.Sleep(time.Second)
			second = newWorker(f, first.machine, index, 2)
			go second.run()
			f.add("worker    %s begins", second.id)
		}
		time.Sleep(lateBy - 1500*time.Millisecond)
		if !awaitRuns(second, 1, 20*time.Second) {
			return fmt.Errorf("the worker's next life got no work")
		}
		if late {
			f.add("worker    %s: the late beat was delivered and answered %s; %s runs %s tasks", first.id, <-delivered, second.id,
				strconv.Itoa(second.count()))
		}
		time.Sleep(9 * time.Second)
		return nil
	})
}
