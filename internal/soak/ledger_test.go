package soak

import (
	"testing"
	"time"
)

// Each kind of broken rule is found, and what looks like it and is allowed is not.
func TestLedgerFindsBrokenRules(t *testing.T) {
	const wait = 500 * time.Millisecond
	now := time.Now()
	run := func(after time.Duration) attemptSeen {
		return attemptSeen{at: now.Add(after), told: 10 * time.Millisecond, quiet: true}
	}
	at := func(after time.Duration) time.Time { return now.Add(after) }
	for name, c := range map[string]struct {
		rec  record
		want string // "": none
	}{
		"answered":                    {record{answered: at(wait), answer: answerValue}, ""},
		"never answered":              {record{}, Lost},
		"excused":                     {record{excused: "killed"}, ""},
		"its client left":             {record{left: at(0)}, ""},
		"crossed the end":             {record{ended: at(20 * time.Millisecond)}, ""},
		"ended after it was read":     {record{ended: at(2 * time.Second)}, Lost},
		"ended after it was sent on":  {record{ended: at(time.Millisecond), runs: []attemptSeen{run(0)}}, Lost},
		"answered late":               {record{answered: at(2 * time.Second)}, Late},
		"late, behind another":        {record{answered: at(2 * time.Second), turn: at(1900 * time.Millisecond)}, ""},
		"safe, run twice":             {record{answered: at(0), runs: []attemptSeen{run(0), run(1)}}, ""},
		"unsafe, run twice":           {record{class: classes[1], answered: at(0), runs: []attemptSeen{run(0), run(1)}}, RunTwice},
		"unsafe, refused after":       {record{class: classes[1], answered: at(0), answer: answerBusy, runs: []attemptSeen{run(0)}}, RefusedAfter},
		"keyed, run in its window":    {record{class: classes[2], answered: at(0), runs: []attemptSeen{run(0), run(repeatWindow)}}, ""},
		"keyed, run after its window": {record{class: classes[2], answered: at(0), runs: []attemptSeen{run(0), run(2 * repeatWindow)}}, RunTwice},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(newStalls(), true)
			c.rec.id, c.rec.sent, c.rec.wait = 1, now, wait
			l.requests[1] = &c.rec
			l.judge()
			wantKind(t, l, c.want)
		})
	}
}

func wantKind(t *testing.T, l *ledger, want string) {
	t.Helper()
	got := ""
	for _, v := range l.violations {
		got += v.Kind
	}
	if got != want {
		t.Fatalf("found %q, want %q", got, want)
	}
}

// What is wrong with an attempt shows as it comes to a backend.
func TestLedgerJudgesAttempts(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		left, drained time.Duration // before the attempt; 0: not
		told          time.Duration
		quiet         bool
		want          string
	}{
		"in order":             {0, 0, 400 * time.Millisecond, true, ""},
		"told too much":        {0, 0, time.Second, true, DeadlineTold},
		"told, then delayed":   {0, 0, time.Second, false, ""},
		"left just now":        {200 * time.Millisecond, 0, 1, true, ""},
		"left before":          {time.Second, 0, 1, true, SentAfterLeft},
		"drains since a while": {0, 900 * time.Millisecond, 1, true, ""},
		"drains for long":      {0, 3 * time.Second, 1, true, SentToDrained},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(newStalls(), true)
			rec := &record{id: 1, sent: now.Add(-100 * time.Millisecond), wait: 500 * time.Millisecond}
			if c.left > 0 {
				rec.left = now.Add(-c.left)
			}
			drained := time.Time{}
			if c.drained > 0 {
				drained = now.Add(-c.drained)
			}
			l.requests[1] = rec
			l.ran(1, attemptSeen{now, c.told, c.quiet}, drained, 0)
			wantKind(t, l, c.want)
		})
	}
}

func TestLedgerJudgesAnswers(t *testing.T) {
	for name, c := range map[string]struct{ kind, text, want string }{
		"its value": {answerValue, valueOf(1), ""},
		"another's": {answerValue, valueOf(2), WrongAnswer},
		"no answer": {answerOdd, "+OK", WrongAnswer},
		"refused":   {answerBusy, "-BUSY", ""},
		"failed":    {answerError, "-ERR failed", ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(newStalls(), true)
			l.answered(&record{id: 1}, time.Time{}, c.kind, c.text)
			wantKind(t, l, c.want)
		})
	}
}

// A change counts as told at once, or in its time after trouble with discovery.
func TestChangesAreTold(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct{ vexed, want time.Duration }{
		"no trouble":     {-time.Hour, 0},
		"long before":    {-toldClock - time.Second, 0},
		"shortly before": {-time.Second, toldClock},
		"after":          {time.Second, time.Second + toldClock},
	} {
		t.Run(name, func(t *testing.T) {
			w := &world{}
			w.vexed[1] = now.Add(c.vexed)
			if got := w.toldAt(3, now).Sub(now); got != c.want {
				t.Fatalf("told after %v, want %v", got, c.want)
			}
			if got := w.toldAt(2, now); !got.Equal(now) {
				t.Fatal("the other side had no trouble")
			}
		})
	}
}
