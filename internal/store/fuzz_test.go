package store

import (
	"errors"
	"strings"
	"testing"
)

// FuzzDecode guards against responses that crash the client, or that it accepts
// although they contain rows that were not requested.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"key":"k/1","value":"AA==","version":1}`,
		`[{"key":"k/1","version":1},{"key":"k/2","version":3}]`,
		`[{"name":"vm-1","leaving":true}]`,
		`{"error":{"code":"conflict","not-run":true}}`,
		`null`, `[null]`, `{`, `{"key":1}`,
	} {
		f.Add([]byte(seed), 409)
	}
	f.Fuzz(func(t *testing.T, body []byte, status int) {
		if row, err := decodeRow(body, "k/1"); err == nil && (row.Key != "k/1" || row.Version < 1) {
			t.Errorf("accepted row %+v", row)
		}
		rows, err := decodeRows(body, "k/", "k/0", 2)
		if err == nil && len(rows) > 2 {
			t.Errorf("accepted %d rows", len(rows))
		}
		for _, r := range rows {
			if !strings.HasPrefix(r.Key, "k/") || r.Key <= "k/0" {
				t.Errorf("accepted row %q", r.Key)
			}
		}
		vms, _ := decodeVMs(body)
		for _, v := range vms {
			if v.Name == "" {
				t.Error("accepted a VM without a name")
			}
		}
		err = parseErrorResponse(status, body, ErrUnknown)
		known := 0
		for _, e := range []error{ErrNotFound, ErrConflict, ErrUnavailable, ErrUnknown} {
			if errors.Is(err, e) {
				known++
			}
		}
		if known != 1 {
			t.Errorf("failure %v maps to %d errors", err, known)
		}
	})
}
