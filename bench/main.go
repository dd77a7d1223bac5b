// Command bench measures bronzelead: the time that a gateway adds, what one gateway
// carries, and the policy against its baselines.
package main

import (
	"os"

	"bronzelead.example/bench/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
