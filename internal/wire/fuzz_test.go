package wire

import (
	"testing"

	"trefoildale.example/trefoildale/internal/coord"
	"trefoildale.example/trefoildale/internal/fleet"
)

// FuzzMessages guards against a message of another node that ends the process when it is
// decoded and checked, or that can't be sent on.
func FuzzMessages(f *testing.F) {
	c := newCodec()
	for _, m := range []any{
		&coord.Exchange{Node: "a", Address: "10.0.0.1:80", Listing: &coord.Listing{Version: 3, Entries: []fleet.Change{{Name: "e", Endpoint: &fleet.Endpoint{ID: "e"}}}}},
		&coord.Reply{Fraction: 0.5, Reports: []coord.LoadReport{{Engine: 1, State: &coord.EngineState{Key: fleet.Key{ID: "e"}}}}},
		&coord.Fetch{Key: fleet.Key{ID: "e"}, Model: "m", Adapter: "a"},
		&SyncRequest{},
		&SyncReply{},
		&DemandRequest{Domain: "d"},
		&DemandReply{},
	} {
		data, err := c.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []any{
			new(coord.Exchange), new(coord.Reply), new(coord.Fetch), new(coord.Fetched), new(SyncRequest), new(SyncReply), new(DemandRequest), new(DemandReply),
		} {
			if c.Unmarshal(data, m) != nil {
				continue
			}
			if _, err := c.Marshal(m); err != nil {
				t.Errorf("%T can't be sent on: %v", m, err)
			}
		}
	})
}
