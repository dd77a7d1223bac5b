// Command standin simulates one of the systems that bronzelead serves: a model engine, a plain
// service, or the weight store.
package main

import (
	"os"

	"bronzelead.example/standin/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
