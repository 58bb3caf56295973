package health

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxWait is the longest time for which an engine closes itself to a node. A longer
	// one is more likely a mistake in its unit than a plan: an engine that is away for
	// longer leaves the list.
	MaxWait = 10 * time.Minute
	// unreadableWait replaces a time that cannot be read: the engine does want a pause.
	unreadableWait = time.Second
)

// Rule says how the time that an engine named was read.
type Rule string

// The rules.
const (
	// Seconds is a number above zero, with or without a fraction.
	Seconds Rule = "seconds"
	// Date is a date in the future.
	Date Rule = "date"
	// Capped is a number or a date beyond MaxWait, which replaces it.
	Capped Rule = "capped"
	// Past is zero, a negative number or a date that has passed. The engine is not
	// closed.
	Past Rule = "past"
	// Unreadable is anything else. A short time replaces it.
	Unreadable Rule = "unreadable"
)

// Wait is how long an engine wants no requests, and how that was read.
type Wait struct {
	For  time.Duration
	Rule Rule
	// Text is the beginning of what the engine sent.
	Text string
}

// maxText bounds Wait.Text, which is written to logs.
const maxText = 40

// ParseWait reads the time in an answer that turns a request away: a number of seconds
// or a date. sentAt is the date of the answer, now the time at which it arrived, which
// replaces a date that cannot be read.
func ParseWait(text, sentAt string, now time.Time) Wait {
	text = strings.TrimSpace(text)
	w := Wait{
		Text: text[:min(len(text), maxText)],
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		// The number is an infinity of the right sign.
	case err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0):
		at, err := http.ParseTime(text)
		if err != nil {
			w.For, w.Rule = unreadableWait, Unreadable
			return w
		}
		if sent, err := http.ParseTime(sentAt); err == nil {
			// Both dates are of the engine's clock.
			now = sent
		}
		w.For, w.Rule = at.Sub(now), Date
	}
	if w.Rule != Date {
		w.Rule = Seconds
		w.For = time.Duration(math.Ceil(min(max(seconds, 0), 2*MaxWait.Seconds()) * float64(time.Second)))
	}
	switch {
	case w.For <= 0:
		w.For, w.Rule = 0, Past
	case w.For > MaxWait:
		w.For, w.Rule = MaxWait, Capped
	}
	return w
}
