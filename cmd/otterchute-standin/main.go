// Program otterchute-standin simulates workers and callers for tests of a cluster. The workers
// carry out every order that they receive, the callers submit the job mix of a deployment, and the
// combined history is checked against the safety rules.
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

// request sends one HTTP request. Status 0 means that there was no valid response.
func request(c *http.Client, method, url string, body []byte) (status int, retry time.Duration, response []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, 0, nil
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // the body was read to its end or is discarded
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return 0, 0, nil
	}
	if s, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		retry = s
	}
	return resp.StatusCode, retry, b
}

func newHTTPClient() *http.Client {
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
		panic(err) // all callers pass types that can be encoded
	}
	return b
}
