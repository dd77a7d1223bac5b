// Command bench measures bronzelead: the latency that a gateway adds, the throughput of one
// gateway, and the policy compared with its baselines.
package main

import (
	"os"

	"bronzelead.example/bench/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
