package audit

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Event records one decision. The only text from a caller that it contains is
// names, and it never contains the secret of a key.
type Event struct {
	Time   time.Time `cbor:"1,keyasint" json:"time"`
	Reason Reason    `cbor:"2,keyasint" json:"reason"`
	// Node and Seq identify the event. The Log sets them.
	Node      string `cbor:"3,keyasint,omitempty" json:"node,omitempty"`
	Seq       uint64 `cbor:"4,keyasint,omitempty" json:"seq,omitempty"`
	Request   string `cbor:"5,keyasint,omitempty" json:"request,omitempty"`
	Workspace string `cbor:"6,keyasint,omitempty" json:"workspace,omitempty"`
	Model     string `cbor:"7,keyasint,omitempty" json:"model,omitempty"`
	Endpoint  string `cbor:"8,keyasint,omitempty" json:"endpoint,omitempty"`
	Domain    string `cbor:"9,keyasint,omitempty" json:"domain,omitempty"`
	// Key is the id of a key.
	Key string `cbor:"10,keyasint,omitempty" json:"key,omitempty"`
	// Other is the second party: another endpoint, node, request, adapter or author.
	Other string `cbor:"11,keyasint,omitempty" json:"other,omitempty"`
	// NotRun is set only if the request is proven not to have been executed.
	NotRun bool `cbor:"12,keyasint,omitempty" json:"not-run,omitempty"`
	// The unit of Wanted, Available and Limit depends on the reason: tokens, bytes
	// or requests per minute.
	Wanted     int64         `cbor:"13,keyasint,omitempty" json:"wanted,omitempty"`
	Available  int64         `cbor:"14,keyasint,omitempty" json:"available,omitempty"`
	Limit      int64         `cbor:"15,keyasint,omitempty" json:"limit,omitempty"`
	Count      int64         `cbor:"16,keyasint,omitempty" json:"count,omitempty"`
	Revision   int64         `cbor:"17,keyasint,omitempty" json:"revision,omitempty"`
	Wait       time.Duration `cbor:"18,keyasint,omitempty" json:"wait,omitempty"`
	RetryAfter time.Duration `cbor:"19,keyasint,omitempty" json:"retry-after,omitempty"`
}

// Validate checks an event that was received from another process.
func (e Event) Validate() error {
	for _, s := range []string{e.Node, e.Request, e.Workspace, e.Model, e.Endpoint, e.Domain, e.Key, e.Other} {
		if len(s) > maxText {
			return fmt.Errorf("audit: a text field of an event has %d bytes, at most %d are allowed", len(s), maxText)
		}
	}
	if e.Reason == ReasonNone {
		return fmt.Errorf("audit: event %s/%d has no reason", e.Node, e.Seq)
	}
	return nil
}

// Sentence explains an event to a reader without a technical background.
func Sentence(e Event) string {
	return render(e.Reason.info().sentence, e)
}

func render(text string, e Event) string {
	var out, part strings.Builder
	inPart, complete := false, true
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '[':
			inPart, complete = true, true
			part.Reset()
		case ']':
			if complete {
				out.WriteString(part.String())
			}
			inPart = false
		case '{':
			end := i + strings.IndexByte(text[i:], '}')
			value := e.field(text[i+1 : end])
			complete = complete && value != ""
			if inPart {
				part.WriteString(value)
			} else {
				out.WriteString(value)
			}
			i = end
		default:
			if inPart {
				part.WriteByte(text[i])
			} else {
				out.WriteByte(text[i])
			}
		}
	}
	return out.String()
}

func (e Event) field(name string) string {
	switch name {
	case "request":
		return e.Request
	case "of-workspace":
		return e.ofWorkspace()
	case "workspace":
		return e.Workspace
	case "model":
		return e.Model
	case "endpoint":
		return e.Endpoint
	case "domain":
		return e.Domain
	case "node":
		return e.Node
	case "key":
		return e.Key
	case "other":
		return e.Other
	case "not-run":
		if !e.NotRun {
			return ""
		}
		return "Nothing was carried out."
	case "wanted":
		return number(e.Wanted)
	case "limit":
		return number(e.Limit)
	case "count":
		return number(e.Count)
	case "available":
		// Zero available is written as "none" if an amount was requested.
		if e.Available == 0 && e.Wanted != 0 {
			return "none"
		}
		return number(e.Available)
	case "revision":
		if e.Revision == 0 {
			return ""
		}
		return strconv.FormatInt(e.Revision, 10)
	case "wait":
		return duration(e.Wait)
	case "retry-after":
		return duration(e.RetryAfter)
	}
	return ""
}

// ofWorkspace returns the words that follow "Request X" at the start of a
// sentence, or the start of the sentence if the event has no request.
func (e Event) ofWorkspace() string {
	switch {
	case e.Request != "" && e.Workspace != "":
		return "of workspace " + e.Workspace + " "
	case e.Request != "":
		return ""
	case e.Workspace != "":
		return "A request of workspace " + e.Workspace + " "
	default:
		return "A request "
	}
}

// number formats n with thousands separators; zero is unset and gives an empty
// string.
func number(n int64) string {
	if n == 0 {
		return ""
	}
	s := strconv.FormatInt(n, 10)
	sign := ""
	if n < 0 {
		sign, s = "-", s[1:]
	}
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return sign + s
}

// duration formats d in a single unit that suits its length; zero is unset and
// gives an empty string.
func duration(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	unit := func(n float64, name string) string {
		text := strconv.FormatFloat(n, 'f', 1, 64)
		text = strings.TrimSuffix(text, ".0")
		if text == "1" {
			return text + " " + name
		}
		return text + " " + name + "s"
	}
	switch {
	case d < 100*time.Millisecond:
		return "less than a tenth of a second"
	case d < 100*time.Second:
		return unit(d.Seconds(), "second")
	case d < 100*time.Minute:
		return unit(d.Minutes(), "minute")
	default:
		return unit(d.Hours(), "hour")
	}
}
