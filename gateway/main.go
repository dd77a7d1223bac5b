// Command gateway serves callers on an entry instance.
package main

import (
	"os"

	"bronzelead.example/gateway/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
