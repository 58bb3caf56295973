package trail

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestCompareRates guards against refusals of a workspace inside its rate that nobody
// can tell from those beyond it.
func TestCompareRates(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sent := func(after time.Duration, tokens int) string {
		return fmt.Sprintf(`{"time":%q,"msg":"request sent","node":"a","request":"r","workspace":"w","tokens":%d,"attempt":1,"waited-ms":0}`,
			start.Add(after).Format(time.RFC3339Nano), tokens)
	}
	refused := func(after time.Duration, tokens int) string {
		return fmt.Sprintf(`{"time":%q,"msg":"request over rate","node":"b","request":"r","workspace":"w","tokens":%d,"rate":100}`,
			start.Add(after).Format(time.RFC3339Nano), tokens)
	}
	for _, tc := range []struct {
		name  string
		log   []string
		want  Rates
		fails bool
	}{
		{
			name: "refused inside the rate",
			log:  []string{sent(0, 50), refused(time.Second, 40)},
			want: Rates{Requests: 2, Tokens: 90, Refused: 1, WronglyRefused: 1},
		},
		{
			name: "refused beyond the rate",
			log:  []string{sent(0, 90), refused(100*time.Millisecond, 60), sent(2*time.Second, 100)},
			want: Rates{Requests: 3, Tokens: 250, Refused: 1, IdealRefused: 1},
		},
		{
			name: "another workspace and other lines",
			log:  []string{strings.ReplaceAll(sent(0, 90), `"w"`, `"x"`), `no JSON`, refused(0, 100)},
			want: Rates{Requests: 1, Tokens: 100, Refused: 1, WronglyRefused: 1},
		},
		{name: "no refusal", log: []string{sent(0, 10)}, fails: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := CompareRates("w", strings.NewReader(strings.Join(tc.log, "\n")))
			if tc.fails {
				if err == nil {
					t.Error("no error without a refusal")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			tc.want.Workspace, tc.want.Rate, tc.want.Span = "w", 100, got.Span
			if *got != tc.want {
				t.Errorf("got %+v, want %+v", *got, tc.want)
			}
		})
	}
}
