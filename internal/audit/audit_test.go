package audit

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/clock"
)

// full returns an event with every field set to a value that is recognizable in a
// sentence.
func full(r Reason) Event {
	return Event{
		Reason: r, Node: "vm-3", Request: "3-7k-19", Workspace: "lanes", Model: "mistral-7", Endpoint: "eng-4",
		Domain: "north", Key: "desk-2", Other: "eng-5", NotRun: true, Wanted: 12345, Available: 678, Limit: 4096,
		Count: 17, Revision: 2026, Wait: 3 * time.Second, RetryAfter: 90 * time.Second,
	}
}

// Guards against a reason without a sentence, a malformed template, technical terms
// in a sentence, and the claim that nothing was carried out without NotRun.
func TestEveryReasonHasASentence(t *testing.T) {
	jargon := regexp.MustCompile(`(?i)\b(lease|fence|fencing|replica|pool|slot|incarnation|escrow|idempoten|http|tcp|eof|null|nil|timeout|endpoint|domain|payload|cache|hash|digest)\b`)
	broken := regexp.MustCompile(`[{}\[\]]|  | \.| ,|\.\.|%!`)
	names := map[string]Reason{}
	for _, r := range Reasons() {
		if other, ok := names[r.String()]; ok || r.Kind() == 0 || r.Cause() == 0 {
			t.Errorf("reason %d is named %q like %d, kind %v, cause %d", r, r, other, r.Kind(), r.Cause())
		}
		names[r.String()] = r
		for _, e := range []Event{full(r), {Reason: r}, {Reason: r, Workspace: "lanes"}, {Reason: r, Request: "3-7k-19"}} {
			s := Sentence(e)
			if s == "" || !strings.HasSuffix(s, ".") || broken.MatchString(s) || jargon.MatchString(s) {
				t.Errorf("%v: %q", r, s)
			}
			if s[:1] != strings.ToUpper(s[:1]) {
				t.Errorf("%v begins in lower case: %q", r, s)
			}
			if !e.NotRun && strings.Contains(s, "Nothing was carried out") {
				t.Errorf("%v claims without proof: %q", r, s)
			}
		}
		text, _ := r.MarshalText()
		var back Reason
		if err := back.UnmarshalText(text); err != nil || back != r {
			t.Errorf("%v: reads back as %v, %v", r, back, err)
		}
	}
	if s := Sentence(Event{Reason: numReasons + 3, Workspace: "lanes"}); !strings.Contains(s, "workspace lanes") {
		t.Errorf("a reason of a newer version gives %q", s)
	}
}

// Guards against numbers that are missing from the sentence.
func TestSentenceCarriesTheNumbers(t *testing.T) {
	for _, c := range []struct {
		event Event
		want  string
	}{
		{
			event: full(OverRate),
			want: "Request 3-7k-19 of workspace lanes was refused because the workspace had used up its allowance: the request needed 12,345 tokens and 678 were left. " +
				"Nothing was carried out. The caller may try again in 90 seconds.",
		},
		{
			event: Event{Reason: OverRate, Workspace: "lanes", Wanted: 900, RetryAfter: time.Second},
			want: "A request of workspace lanes was refused because the workspace had used up its allowance: the request needed 900 tokens and none were left. " +
				"The caller may try again in 1 second.",
		},
		{
			event: Event{Reason: EjectedFailures, Endpoint: "eng-4", Count: 3, RetryAfter: 2 * time.Minute},
			want:  "The server eng-4 gets no new requests for now, for 2 minutes, because it failed 3 times in a row.",
		},
	} {
		if got := Sentence(c.event); got != c.want {
			t.Errorf("got  %q\nwant %q", got, c.want)
		}
	}
}

// Guards against answers that differ from a plain list of the newest events after
// the ring has been overwritten several times, and against events that are lost
// when several goroutines record them.
func TestAnswersMatchAPlainList(t *testing.T) {
	fake := clock.NewFake()
	const size = 64
	l := New("vm-1", size, fake)
	var all []Event
	for i := range 1000 {
		fake.Advance(time.Second)
		e := Event{
			Time:      fake.Now(),
			Reason:    OverRate,
			Request:   fmt.Sprintf("r-%d", i*7%90),
			Workspace: fmt.Sprintf("w-%d", i%5),
			Model:     fmt.Sprintf("m-%d", i%3),
		}
		l.Record(e)
		all = append(all, e)
	}
	kept := all[len(all)-size:]
	for _, q := range []Query{
		{Request: "r-12"},
		{Request: kept[40].Request},
		{Request: kept[63].Request, Workspace: "w-4"},
		{Workspace: "w-2"},
		{Model: "m-1", Limit: 5},
		{From: kept[10].Time, To: kept[20].Time},
		{Limit: maxLimit},
	} {
		var want []string
		for _, e := range kept {
			if q.matches(&e) {
				want = append(want, e.Time.String())
			}
		}
		truncated := len(want) > q.limit()
		want = want[max(0, len(want)-q.limit()):]
		a := l.Answer(q)
		var got []string
		for _, e := range a.Events {
			got = append(got, e.Time.String())
		}
		if !slices.Equal(got, want) || a.Truncated != truncated {
			t.Errorf("%+v: got %d events, truncated %v; want %d, %v", q, len(got), a.Truncated, len(want), truncated)
		}
		if a.Complete != kept[0].Time {
			t.Errorf("complete since %v, want %v", a.Complete, kept[0].Time)
		}
	}
	if len(l.requests.last) > size {
		t.Errorf("the index holds %d requests for %d events", len(l.requests.last), size)
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for _, e := range kept {
				l.Record(e)
				l.Served(e.Workspace, false)
				l.Answer(Query{Request: e.Request})
			}
		})
	}
	wg.Wait()
	if got := l.Count(OverRate); got != 1000+4*size {
		t.Errorf("counted %d, want %d", got, 1000+4*size)
	}
}

// Guards against moves that are displaced by many refusals, nodes that are counted
// twice in a merged answer, and a summary that attributes a workspace's requests
// above its allowance to the system.
func TestSummaryOfSeveralNodes(t *testing.T) {
	fake := clock.NewFake()
	var answers []Answer
	q := Query{From: fake.Now()}
	for _, node := range []string{"vm-1", "vm-2"} {
		fake.Advance(time.Second)
		l := New(node, 64, fake)
		l.Record(Event{Reason: MoveDemand, Model: "mistral-7", Endpoint: "eng-4"})
		for range 500 {
			l.Served("lanes", false)
			l.Served("fans", false)
			l.Record(Event{Reason: OverRate, Request: "x", Workspace: "fans", Wanted: 10})
		}
		l.Served("fans", true)
		for range 20 {
			l.Record(Event{Reason: QueueFull, Request: "y", Workspace: "lanes", Count: 64, Limit: 64})
		}
		answers = append(answers, l.Answer(q))
	}
	answers = append(answers, answers[0], Answer{Missing: []string{"vm-2", "vm-3"}})
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	for i, a := range answers {
		data, err := enc.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		answers[i] = Answer{}
		if err := cbor.Unmarshal(data, &answers[i]); err != nil {
			t.Fatal(err)
		}
		if err := answers[i].Validate(); err != nil {
			t.Fatal(err)
		}
	}
	a := Merge(q, answers...)
	if !slices.ContainsFunc(a.Events, func(e Event) bool { return e.Reason == MoveDemand }) {
		t.Error("the move was displaced by refusals")
	}
	if !slices.Equal(a.Nodes, []string{"vm-1", "vm-2"}) || !slices.Equal(a.Missing, []string{"vm-3"}) {
		t.Errorf("nodes %v, missing %v", a.Nodes, a.Missing)
	}
	text := Explain(q, a, time.UTC)
	for _, part := range []string{
		"from 1 January 00:00:00:\nThursday 1 January 2026\n  00:00:01  The model mistral-7 was loaded",
		"(The same happened 19 more times until 00:00:02.)", "Before 1 January 00:00:02 the record is not complete", "No record came from vm-3.", Summary(a),
	} {
		if !strings.Contains(text, part) {
			t.Errorf("the explanation lacks %q:\n%s", part, text)
		}
	}
	got := Summary(a)
	want := "Workspace lanes was served worst: of 1,040 requests within its allowance, 40 were not answered (3.8%). " +
		"The most frequent cause (40 of 40): Request y of workspace lanes was refused because too many requests were already waiting (64 of at most 64). " +
		"Workspace fans sent more than its allowance; 1,000 of its requests were refused for that. " +
		"1 of the entry points did not answer, so this may be incomplete."
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

func BenchmarkRecord(b *testing.B) {
	l := New("vm-1", DefaultSize, clock.NewReal())
	ids := make([]string, 4*DefaultSize)
	for i := range ids {
		ids[i] = fmt.Sprintf("3-7k-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Record(Event{
			Reason:    OverRate,
			Request:   ids[i%len(ids)],
			Workspace: "lanes",
			Wanted:    900,
		})
	}
}
