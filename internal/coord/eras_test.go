package coord

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/store"
)

// formerListing, formerExchange and formerReply are messages as the build before eras
// decodes them.
type formerListing struct {
	Version int64  `cbor:"1,keyasint"`
	Packed  []byte `cbor:"3,keyasint,omitempty"`
}

type formerExchange struct {
	ListingVersion int64 `cbor:"9,keyasint,omitempty"`
	Resign         int64 `cbor:"16,keyasint,omitempty"`
	Term           int64 `cbor:"18,keyasint,omitempty"`
}

type formerReply struct {
	LeaseVersion   int64          `cbor:"19,keyasint,omitempty"`
	MembersVersion MembersVersion `cbor:"21,keyasint"`
	ListingVersion int64          `cbor:"9,keyasint,omitempty"`
	Listing        *formerListing `cbor:"10,keyasint,omitempty"`
	Lease          *LeaseRow      `cbor:"13,keyasint,omitempty"`
	Term           int64          `cbor:"17,keyasint,omitempty"`
}

// transcode encodes a message and decodes it as another build does.
func transcode[T any](t *testing.T, message any) T {
	t.Helper()
	b, err := cbor.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	var out T
	if err := cbor.Unmarshal(b, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestVersionsForFormerBuilds guards against a node of a build without eras that gets
// versions above all that the store gives it, and from then on ignores what it reads there.
func TestVersionsForFormerBuilds(t *testing.T) {
	ctx := context.Background()
	n := newTestFleet(t).prepare("a", 1)
	n.SetEndpoints(ctx, []fleet.Change{{Name: "e", Version: store.Revision(2, 50), Endpoint: testEndpoints[0].Endpoint}}, store.Revision(2, 60), true)
	n.setCoordinator("a", false, store.Revision(2, 70))
	sent := Exchange{Term: store.Revision(2, 71), Resign: store.Revision(2, 72), ListingVersion: store.Revision(2, 60)}
	sent.split()
	if x := transcode[formerExchange](t, &sent); x != (formerExchange{ListingVersion: 60, Term: 71, Resign: 72}) {
		t.Errorf("a message is decoded as %+v", x)
	}
	reply := n.replyWithDocuments(&Exchange{ViewAge: time.Second})
	reply.Term, reply.MembersVersion.Term = store.Revision(2, 73), store.Revision(2, 73)
	reply.Lease = &LeaseRow{Version: store.Revision(2, 74)}
	reply.split()
	r := transcode[formerReply](t, reply)
	if r.ListingVersion != 60 || r.LeaseVersion != 70 || r.Term != 73 || r.MembersVersion.Term != 73 || r.Lease.Version != 74 || r.Listing.Version != 60 {
		t.Errorf("a reply is decoded as %+v, its listing as %+v", r, r.Listing)
	}
	b, err := unpack(r.Listing.Packed)
	if err != nil {
		t.Fatal(err)
	}
	var entries []fleet.Change
	if err := cbor.Unmarshal(b, &entries); err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 || entries[0].Version != 50 || entries[0].Name != "e" || entries[0].Endpoint.ID != "e" {
		t.Errorf("the entries are decoded as %+v", entries)
	}
	if plain := plainEntries(n.registry.Changes()); plain[0].Version != 50 {
		t.Errorf("entries for builds without compression have version %d", plain[0].Version)
	}
}

// TestVersionsOfMessages guards against versions that lose their era on the way between two
// nodes of this build, and against a node that ignores one of a build without eras.
func TestVersionsOfMessages(t *testing.T) {
	ctx := context.Background()
	from, to := newTestFleet(t).prepare("a", 1), newTestFleet(t).prepare("b", 1)
	from.SetEndpoints(ctx, []fleet.Change{{Name: "e", Version: store.Revision(2, 50), Endpoint: testEndpoints[0].Endpoint}}, store.Revision(2, 60), true)
	reply := from.replyWithDocuments(&Exchange{ViewAge: time.Second})
	reply.split()
	got := transcode[Reply](t, reply)
	got.join(0)
	got.ViewAge = 0
	entries, err := got.Listing.entries()
	if err != nil {
		t.Fatal(err)
	}
	if got.ListingVersion != store.Revision(2, 60) || got.Listing.Version != store.Revision(2, 60) || entries[0].Version != store.Revision(2, 50) {
		t.Errorf("the listing arrives with version %d, entry %d", got.Listing.Version, entries[0].Version)
	}
	to.applyReply(ctx, to.opts.Clock.Now(), &got, "peer")
	if list := to.opts.Table.Endpoints(); len(list) != 1 {
		t.Fatalf("%d endpoints", len(list))
	}
	leaving := *testEndpoints[0].Endpoint
	leaving.Leaving = true
	former := transcode[Reply](t, &Reply{
		ListingVersion: 65,
		Listing:        &Listing{Version: 65, Packed: packEntries([]fleet.Change{{Name: "e", Version: 64, Endpoint: &leaving}})},
	})
	former.join(to.newestEra())
	to.applyReply(ctx, to.opts.Clock.Now(), &former, "peer of a former build")
	if list := to.opts.Table.Endpoints(); len(list) != 1 || !list[0].Leaving {
		t.Errorf("the listing of a build without eras is ignored: %+v", list)
	}
}

// TestMessageOfFormerBuild guards against a regular message of a build without eras that is
// taken for a request to resign, or for one that names versions, once the store has an era.
func TestMessageOfFormerBuild(t *testing.T) {
	x := transcode[Exchange](t, &formerExchange{})
	x.join(2)
	if x.Resign != 0 || x.Term != 0 || x.ListingVersion != 0 {
		t.Errorf("a message without versions is read as %+v", x)
	}
	r := transcode[Reply](t, &formerReply{})
	r.join(2)
	if r.LeaseVersion != 0 || r.Term != 0 || r.ListingVersion != 0 || r.MembersVersion.Term != 0 {
		t.Errorf("a reply without versions is read as %+v", r)
	}
	x = transcode[Exchange](t, &formerExchange{Resign: 7, Term: 8, ListingVersion: 9})
	x.join(2)
	if x.Resign != store.Revision(2, 7) || x.Term != store.Revision(2, 8) || x.ListingVersion != store.Revision(2, 9) {
		t.Errorf("a message with versions is read as %+v", x)
	}
}
