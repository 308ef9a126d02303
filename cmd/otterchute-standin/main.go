// Program otterchute-standin holds the stand-ins: workers that run whatever they are told,
// callers with their users' mixes, and the verdict over what both recorded.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
)

func main() {
	cmd := subcommands.NewCommander(flag.CommandLine, "otterchute-standin")
	cmd.Register(cmd.HelpCommand(), "")
	cmd.Register(&workerCommand{}, "")
	cmd.Register(&callersCommand{}, "")
	flag.Parse()
	os.Exit(int(cmd.Execute(context.Background())))
}

// request sends one HTTP request; status 0 means silence.
func request(c *http.Client, method, url string, body []byte) (status int, retry time.Duration, answer []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, 0, nil
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // it was read to its end, or is of no use
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return 0, 0, nil
	}
	if s, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		retry = s
	}
	return resp.StatusCode, retry, b
}

func newHTTP() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

func fail(code int, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "otterchute-standin:", err)
	return subcommands.ExitStatus(code)
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only our own types come here
	}
	return b
}
