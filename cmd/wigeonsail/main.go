// Command wigeonsail routes language-model traffic with service levels and
// priorities. `serve` runs an entry host; the other commands are for operators
// and for trying it out.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:]))
}
