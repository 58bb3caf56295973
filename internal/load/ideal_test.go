package load

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/pkg/spec"
)

func servedRecord(at time.Duration, workspace string, tokens int64) Record {
	return Record{
		Arrival: &Arrival{Workspace: workspace, PromptTokens: tokens / 2, OutputTokens: tokens - tokens/2},
		Sent:    at,
		Total:   100 * time.Millisecond,
		Tokens:  tokens - tokens/2,
		Status:  200,
		Served:  true,
	}
}

func refusedRecord(at time.Duration, workspace string, tokens int64) Record {
	r := servedRecord(at, workspace, tokens)
	r.Status, r.Code, r.NotRun, r.Served, r.Tokens = 429, "over-rate", true, false, 0
	return r
}

// Guards against classifying a justified refusal as wrong or a wrong one as
// justified, and against missing that a workspace used more than its rate and
// burst.
func TestOutcomesMatchIdealBucket(t *testing.T) {
	ws := []spec.Workspace{{Name: "club", RateTokensPerSecond: 100, BurstTokens: 1000}}
	// full is the time after which the bucket is full, whatever its level was
	// at the start.
	const full = 10 * time.Second
	failed := servedRecord(full, "club", 600)
	failed.Served, failed.Tokens, failed.Status, failed.Code = false, 0, 503, "model-loading"
	for _, tc := range []struct {
		name      string
		records   []Record
		want      []outcome
		overspent int64
	}{
		{
			name:    "refused with a full bucket",
			records: []Record{refusedRecord(full+time.Second, "club", 1000)},
			want:    []outcome{outcomeWronglyRefused},
		},
		{
			name:    "refused before the bucket can be known to be full",
			records: []Record{refusedRecord(time.Second, "club", 101)},
			want:    []outcome{outcomeOverRate},
		},
		{
			name:    "refused with too few tokens",
			records: []Record{servedRecord(full, "club", 800), refusedRecord(full+time.Second, "club", 301)},
			want:    []outcome{outcomeServed, outcomeOverRate},
		},
		{
			name:    "refused after the refill",
			records: []Record{servedRecord(full, "club", 800), refusedRecord(full+time.Second, "club", 300)},
			want:    []outcome{outcomeServed, outcomeWronglyRefused},
		},
		{
			name:    "refused while more than the rate was sent",
			records: []Record{refusedRecord(full, "club", 900), refusedRecord(full+time.Second, "club", 300)},
			want:    []outcome{outcomeWronglyRefused, outcomeUnreachable},
		},
		{
			name:    "unused tokens come back",
			records: []Record{failed, refusedRecord(full+time.Second, "club", 1000)},
			want:    []outcome{outcomeOtherRefused, outcomeUnreachable},
		},
		{
			name:    "emptied while the refused request waited",
			records: []Record{refusedRecord(full, "club", 900), servedRecord(full+50*time.Millisecond, "club", 900)},
			want:    []outcome{outcomeOverRate, outcomeServed},
		},
		{
			name:      "too much was served",
			records:   []Record{servedRecord(0, "club", 1000), servedRecord(time.Second, "club", 550)},
			want:      []outcome{outcomeServed, outcomeServed},
			overspent: 450 - int64(100*limit.DefaultMaxWait.Seconds()),
		},
	} {
		got, over := classify(tc.records, ws)
		for i := range tc.want {
			if got[i] != tc.want[i] {
				t.Errorf("%s: request %d has outcome %s, want %s", tc.name, i, outcomeNames[got[i]], outcomeNames[tc.want[i]])
			}
		}
		if over["club"] != tc.overspent {
			t.Errorf("%s: overspent %d, want %d", tc.name, over["club"], tc.overspent)
		}
	}
}
