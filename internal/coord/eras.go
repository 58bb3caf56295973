package coord

import (
	"slices"

	"trefoildale.example/trefoildale/internal/fleet"
	"trefoildale.example/trefoildale/internal/store"
)

// Within a process versions of the store are revisions (see store.Revision). Messages carry
// version and era apart, since builds before eras read the same fields as plain versions:
// a revision would be above all that the store gives them, and they would ignore the store
// from then on. Versions of messages without eras count as of the newest era that the
// receiver knows.

// Eras are the eras of the versions in a message.
type Eras struct {
	Listing int64 `cbor:"1,keyasint,omitempty"`
	Lease   int64 `cbor:"2,keyasint,omitempty"`
	Row     int64 `cbor:"3,keyasint,omitempty"` // of the lease row
	Term    int64 `cbor:"4,keyasint,omitempty"`
	Members int64 `cbor:"5,keyasint,omitempty"`
	Resign  int64 `cbor:"6,keyasint,omitempty"`
}

// splitRevision replaces a revision by its version and returns its era.
func splitRevision(revision *int64) int64 {
	era := store.Era(*revision)
	*revision = store.Version(*revision)
	return era
}

// split prepares a message for sending.
func (x *Exchange) split() {
	x.Eras = &Eras{
		Listing: splitRevision(&x.ListingVersion),
		Term:    splitRevision(&x.Term),
		Resign:  splitRevision(&x.Resign),
	}
}

// join reverts split for a received message.
func (x *Exchange) join(newest int64) {
	e := x.Eras
	if e == nil {
		e = &Eras{
			Listing: newest,
			Term:    newest,
			Resign:  newest,
		}
	}
	x.ListingVersion = joinRevision(e.Listing, x.ListingVersion)
	x.Term = joinRevision(e.Term, x.Term)
	x.Resign = joinRevision(e.Resign, x.Resign)
	x.Listing = x.Listing.join(x.Eras != nil, newest)
	x.Eras = nil
}

// joinRevision returns the revision of a version. 0 means that there is none.
func joinRevision(era, version int64) int64 {
	if version == 0 {
		return 0
	}
	return store.Revision(era, version)
}

// split prepares a reply for sending.
func (r *Reply) split() {
	r.Eras = &Eras{
		Listing: splitRevision(&r.ListingVersion),
		Lease:   splitRevision(&r.LeaseVersion),
		Term:    splitRevision(&r.Term),
		Members: splitRevision(&r.MembersVersion.Term),
	}
	if r.Lease != nil {
		row := *r.Lease
		r.Eras.Row = splitRevision(&row.Version)
		r.Lease = &row
	}
}

// join reverts split for a received reply.
func (r *Reply) join(newest int64) {
	e := r.Eras
	if e == nil {
		e = &Eras{
			Listing: newest,
			Lease:   newest,
			Row:     newest,
			Term:    newest,
			Members: newest,
		}
	}
	r.ListingVersion = joinRevision(e.Listing, r.ListingVersion)
	r.LeaseVersion = joinRevision(e.Lease, r.LeaseVersion)
	r.Term = joinRevision(e.Term, r.Term)
	r.MembersVersion.Term = joinRevision(e.Members, r.MembersVersion.Term)
	if r.Lease != nil {
		row := *r.Lease
		row.Version = joinRevision(e.Row, row.Version)
		r.Lease = &row
	}
	r.Listing = r.Listing.join(r.Eras != nil, newest)
	r.Eras = nil
}

// newListing returns a listing for sending, without its entries.
func newListing(revision int64) *Listing {
	return &Listing{
		Version: store.Version(revision),
		Era:     store.Era(revision),
	}
}

// join returns a received listing with revisions. Its entries are decoded later.
func (l *Listing) join(hasEras bool, newest int64) *Listing {
	if l == nil {
		return nil
	}
	out := *l
	out.hasEras, out.newestEra = hasEras, newest
	if !hasEras {
		out.Era = newest
	}
	out.Version = store.Revision(out.Era, l.Version)
	return &out
}

// wireEntry is a fleet.Change with the era of its version.
type wireEntry struct {
	fleet.Change
	Era int64 `cbor:"4,keyasint,omitempty"`
}

func splitEntries(entries []fleet.Change) []wireEntry {
	out := make([]wireEntry, len(entries))
	for i, c := range entries {
		era := splitRevision(&c.Version)
		out[i] = wireEntry{
			Change: c,
			Era:    era,
		}
	}
	return out
}

// plainEntries returns the entries for builds before eras.
func plainEntries(entries []fleet.Change) []fleet.Change {
	out := slices.Clone(entries)
	for i := range out {
		splitRevision(&out[i].Version)
	}
	return out
}

// joinEntries reverts splitEntries.
func (l *Listing) joinEntries(entries []wireEntry) []fleet.Change {
	out := make([]fleet.Change, len(entries))
	for i, w := range entries {
		out[i] = w.Change
		if !l.hasEras {
			w.Era = l.newestEra
		}
		out[i].Version = joinRevision(w.Era, w.Version)
	}
	return out
}

// newestEra returns the newest era of the store that this node has seen, itself or in
// messages. The caller holds the lock.
func (n *Node) newestEra() int64 {
	return store.Era(max(n.registry.Version(), n.leaseVersion))
}
