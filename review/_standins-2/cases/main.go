// Command cases tries one case of the review: cases NAME FOLDER, from the root of the repository. It writes record.txt in the
// folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a case: the breaks that were seen, none if the rule held.
type verdict struct{ breaks []string }

func (v *verdict) addf(format string, values ...any) {
	v.breaks = append(v.breaks, fmt.Sprintf(format, values...))
}

var cases = map[string]func(rec *record, trouble bool) (*verdict, error){
	"crowd":  runCrowd,
	"once":   runOnce,
	"stay":   runStay,
	"window": runWindow,
}

// started holds the processes that the case has started, for an end that comes early.
var started processes

type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, process)
}

// endEarly ends all processes and this one, as a case that could not run.
func (p *processes) endEarly(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.all {
		process.Kill() // has no effect on one that has ended
	}
	fmt.Println("could not run:", reason)
	os.Exit(2)
}

// longestRun is the time after which a case is given up.
const longestRun = 118 * time.Second

func main() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			started.endEarly(s.String())
		case <-time.After(longestRun):
			started.endEarly("it took too long")
		}
	}()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for i, text := range result.breaks {
		rec.printf("BROKEN: %s", text)
		if i < 5 {
			fmt.Println("broken:", text)
		}
	}
	if len(result.breaks) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(result.breaks))
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
