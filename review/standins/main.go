// Command review-standins runs the cases of the review: it starts gateways as separate
// processes, serves the stand-ins for the platform's store and the replicas, plays the
// clients, and checks the rule. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With KEEP set, the settings and logs of the gateways stay.
package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// cases are the cases by name. They return whether the rule held.
var cases = map[string]func(c *caseRun) bool{}

// caseRun is one run of a case.
type caseRun struct {
	// dir is a temporary folder.
	dir string
	// trouble reports whether the disruption is played.
	trouble bool
	record  *record
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	c := &caseRun{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: newRecord()}
	held := cases[os.Args[1]](c)
	killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	if err := c.record.save(os.Args[2]); err != nil {
		fail("cannot write the record: %v", err)
	}
	if !held {
		os.Exit(1)
	}
}

// fail ends a case that cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	killAll()
	os.Exit(2)
}

// record is what was sent, answered and run, with the time since the start of the case.
type record struct {
	began time.Time
	mu    sync.Mutex
	lines []line
}

type line struct {
	at   time.Duration
	text string
}

func newRecord() *record { return &record{began: time.Now()} }

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{time.Since(r.began), fmt.Sprintf(format, args...)})
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	defer out.Close()
	for _, l := range r.lines {
		fmt.Fprintf(out, "%8.3f s  %s\n", l.at.Seconds(), l.text)
	}
	return nil
}
