// Program otterchute is the daemon of every machine and the operators' command line.
package main

import "otterchute/internal/daemon"

func main() { daemon.Main() }
