package load

import (
	"testing"
	"time"

	"trefoildale.example/trefoildale/internal/limit"
	"trefoildale.example/trefoildale/pkg/spec"
)

func answered(at time.Duration, workspace string, tokens int64) Record {
	return Record{
		Arrival: &Arrival{Workspace: workspace, PromptTokens: tokens / 2, OutputTokens: tokens - tokens/2},
		Sent:    at,
		Total:   100 * time.Millisecond,
		Tokens:  tokens - tokens/2,
		Status:  200,
		Served:  true,
	}
}

func refusedForRate(at time.Duration, workspace string, tokens int64) Record {
	r := answered(at, workspace, tokens)
	r.Status, r.Code, r.NotRun, r.Served, r.Tokens = 429, "over-rate", true, false, 0
	return r
}

// Guards against calling a rightful refusal wrong or the reverse, and against
// missing that a workspace got more than its rate and burst.
func TestFatesFollowAnIdealBucket(t *testing.T) {
	ws := []spec.Workspace{{Name: "club", RateTokensPerSecond: 100, BurstTokens: 1000}}
	// full is the time after which the bucket is full, whatever it held before.
	const full = 10 * time.Second
	broken := answered(full, "club", 600)
	broken.Served, broken.Tokens, broken.Status, broken.Code = false, 0, 503, "model-loading"
	for _, tc := range []struct {
		name      string
		records   []Record
		want      []fate
		overspent int64
	}{
		{
			name:    "refused with a full bucket",
			records: []Record{refusedForRate(full+time.Second, "club", 1000)},
			want:    []fate{fateWrongly},
		},
		{
			name:    "refused before the bucket can be known to be full",
			records: []Record{refusedForRate(time.Second, "club", 101)},
			want:    []fate{fateOverRate},
		},
		{
			name:    "refused with too few tokens",
			records: []Record{answered(full, "club", 800), refusedForRate(full+time.Second, "club", 301)},
			want:    []fate{fateServed, fateOverRate},
		},
		{
			name:    "refused after the refill",
			records: []Record{answered(full, "club", 800), refusedForRate(full+time.Second, "club", 300)},
			want:    []fate{fateServed, fateWrongly},
		},
		{
			name:    "refused while more than the rate was sent",
			records: []Record{refusedForRate(full, "club", 900), refusedForRate(full+time.Second, "club", 300)},
			want:    []fate{fateWrongly, fateUnreachable},
		},
		{
			name:    "unused tokens come back",
			records: []Record{broken, refusedForRate(full+time.Second, "club", 1000)},
			want:    []fate{fateOther, fateUnreachable},
		},
		{
			name:    "emptied while the refused request waited",
			records: []Record{refusedForRate(full, "club", 900), answered(full+50*time.Millisecond, "club", 900)},
			want:    []fate{fateOverRate, fateServed},
		},
		{
			name:      "too much was served",
			records:   []Record{answered(0, "club", 1000), answered(time.Second, "club", 550)},
			want:      []fate{fateServed, fateServed},
			overspent: 450 - int64(100*limit.DefaultMaxWait.Seconds()),
		},
	} {
		got, over := fates(tc.records, ws)
		for i := range tc.want {
			if got[i] != tc.want[i] {
				t.Errorf("%s: request %d is %s, want %s", tc.name, i, fateNames[got[i]], fateNames[tc.want[i]])
			}
		}
		if over["club"] != tc.overspent {
			t.Errorf("%s: overspent %d, want %d", tc.name, over["club"], tc.overspent)
		}
	}
}
