package trail

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Rates compares the logged refusals of a workspace with an ideal bucket.
type Rates struct {
	Workspace string
	// Requests is the number of requests that were admitted or refused for the rate,
	// Tokens what they cost together.
	Requests int
	Tokens   float64
	// Refused is the number refused for the rate.
	Refused int
	// IdealRefused is how many an ideal bucket refuses that sees the same requests.
	IdealRefused int
	// WronglyRefused is how many were refused while an ideal bucket that was charged
	// with what was admitted held enough tokens.
	WronglyRefused int
	// Rate is the rate in the last refusal.
	Rate float64
	// Span is the time from the first request to the last.
	Span time.Duration
}

// rateEvent is a request of the workspace when its tokens were admitted or refused.
type rateEvent struct {
	at      time.Time
	tokens  float64
	rate    float64 // 0 if admitted
	refused bool
}

// CompareRates plays the demand of a workspace, as logged by all processes, against
// an ideal bucket: one counter with the whole rate, a burst of one second's tokens,
// full at first. It fails if the logs have no refusal, since admitted requests are
// logged without the rate.
func CompareRates(workspace string, logs ...io.Reader) (*Rates, error) {
	all, err := readAll(logs)
	if err != nil {
		return nil, err
	}
	var events []rateEvent
	for _, l := range all {
		if name, _ := l.fields["workspace"].(string); name != workspace {
			continue
		}
		tokens, _ := l.fields["tokens"].(float64)
		attempt, _ := l.fields["attempt"].(float64)
		waited, _ := l.fields["waited-ms"].(float64)
		switch {
		case l.Message == "request sent" && attempt == 1:
			events = append(events, rateEvent{
				at:     l.Time.Add(-time.Duration(waited * float64(time.Millisecond))),
				tokens: tokens,
			})
		case l.Message == "request over rate", l.Message == "rate of request not known":
			rate, _ := l.fields["rate"].(float64)
			events = append(events, rateEvent{
				at:      l.Time,
				tokens:  tokens,
				rate:    rate,
				refused: true,
			})
		}
	}
	slices.SortStableFunc(events, func(a, b rateEvent) int { return a.at.Compare(b.at) })
	first := slices.IndexFunc(events, func(e rateEvent) bool { return e.refused })
	if first < 0 {
		return nil, fmt.Errorf("trail: the logs have no refusal of workspace %s for its rate", workspace)
	}
	return compareRates(workspace, events, events[first].rate), nil
}

func compareRates(workspace string, events []rateEvent, rate float64) *Rates {
	out := &Rates{
		Workspace: workspace,
		Rate:      rate,
		Span:      events[len(events)-1].at.Sub(events[0].at),
	}
	ideal, admitted := rate, rate
	last := events[0].at
	for _, e := range events {
		elapsed := e.at.Sub(last).Seconds()
		last = e.at
		if e.rate > 0 {
			// A changed rate applies from the first refusal that names it.
			out.Rate = e.rate
		}
		ideal = min(out.Rate, ideal+elapsed*out.Rate)
		admitted = min(out.Rate, admitted+elapsed*out.Rate)
		out.Requests++
		out.Tokens += e.tokens
		if ideal >= e.tokens {
			ideal -= e.tokens
		} else {
			out.IdealRefused++
		}
		switch {
		case !e.refused:
			admitted -= e.tokens
		case admitted >= e.tokens:
			out.Refused++
			out.WronglyRefused++
		default:
			out.Refused++
		}
	}
	return out
}

// Sentences says in words what was compared.
func (r *Rates) Sentences() []string {
	return []string{
		fmt.Sprintf("Workspace %s asked for %.0f tokens in %d requests within %.1f s, %.0f a second; its rate is %.0f a second.",
			r.Workspace, r.Tokens, r.Requests, r.Span.Seconds(), r.Tokens/max(r.Span.Seconds(), 1), r.Rate),
		fmt.Sprintf("%d requests were refused for the rate. An ideal bucket refuses %d of the same requests.", r.Refused, r.IdealRefused),
		fmt.Sprintf("%d were refused although an ideal bucket, charged with what was admitted, held enough tokens.", r.WronglyRefused),
	}
}
