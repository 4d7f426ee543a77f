// Command simadapter runs gateways for the simulator. It reads batches of events from standard input and writes replies with
// the gateways' actions to standard output.
package main

import (
	"fmt"
	"os"

	"lemontack/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
