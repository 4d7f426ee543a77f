// Command simadapter runs gateways' decisions on the simulator's wire: batches in, replies out.
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
