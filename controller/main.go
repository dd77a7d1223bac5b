// Command controller keeps the state of bronzelead on an instance with a disk.
package main

import (
	"os"

	"bronzelead.example/controller/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
