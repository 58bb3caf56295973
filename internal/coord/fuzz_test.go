package coord

import (
	"testing"

	"trefoildale.example/trefoildale/internal/fleet"
)

// FuzzListing guards against a list of endpoints of another node that ends the process.
func FuzzListing(f *testing.F) {
	f.Add(packEntries([]fleet.Change{{Name: "e", Version: 1, Endpoint: &fleet.Endpoint{ID: "e", Address: "10.0.0.1:80"}}, {Name: "gone"}}))
	f.Add(pack([]byte{0x9a, 0xff, 0xff, 0xff, 0xff}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, l := range []Listing{{Packed: data}, {Packed: pack(data)}} {
			entries, err := l.entries()
			if err != nil {
				continue
			}
			for _, e := range entries {
				if e.Endpoint != nil {
					_ = e.Endpoint.Validate()
				}
			}
		}
	})
}
