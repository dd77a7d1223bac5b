// Command bronzectl is the operators' tool.
package main

import (
	"os"

	"bronzelead.example/bronzectl/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
