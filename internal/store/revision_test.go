package store

import "testing"

// TestRevision guards against a version of a later era that is lower than one of an earlier
// era, and against a version without eras that changes.
func TestRevision(t *testing.T) {
	for _, tc := range []struct {
		era, version int64
	}{
		{era: 0, version: 0},
		{era: 0, version: 1<<versionBits - 1},
		{era: 1, version: 0},
		{era: 1, version: 7},
		{era: MaxEra, version: 1<<versionBits - 1},
	} {
		r := Revision(tc.era, tc.version)
		if Era(r) != tc.era || Version(r) != tc.version || r < 0 {
			t.Errorf("revision %d of era %d and version %d has era %d and version %d", r, tc.era, tc.version, Era(r), Version(r))
		}
	}
	if Revision(0, 12) != 12 {
		t.Error("the revision of a store without eras is not the version")
	}
	if Revision(1, 0) <= Revision(0, 1<<versionBits-1) {
		t.Error("a revision falls in a new era")
	}
}
