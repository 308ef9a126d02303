// Command otterchute is the daemon that runs on every machine and the operators' command line.
package main

import "otterchute/internal/daemon"

func main() { daemon.Main() }
