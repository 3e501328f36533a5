// Command wigeonsail routes language-model traffic with service levels and
// priorities. The commands serve and gateway run an entry host; the others are
// for operators and for trials.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:]))
}
