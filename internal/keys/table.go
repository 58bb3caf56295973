// Package keys decides whether the secret that a request carries gives access
// to a workspace, and for how long that answer may be used.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"strings"

	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	// secretPrefix lets tools that search for leaked secrets recognise ours.
	secretPrefix = "tfd-"
	// maxSecret bounds what is hashed for a request. Generated secrets have 30
	// characters.
	maxSecret = 128
)

// Generate returns a new secret with 130 bits of randomness and its digest, as
// a Key of the configuration holds it. The secret is shown once and not stored.
func Generate() (secret, digest string) {
	secret = secretPrefix + strings.ToLower(rand.Text())
	return secret, spec.Digest(secret)
}

// entry is one key. It is carried over from table to table while the key stays
// as it is, so that gone is one channel for all streams of the key.
type entry struct {
	sum       [sha256.Size]byte
	keyID     string
	workspace string
	gone      chan struct{}
}

// Table finds keys by secret. It never changes.
type Table struct {
	// bySlot is indexed by the first bytes of the digest. A caller cannot choose
	// the digest of a secret, so the time of a map access tells nothing of the
	// other digests; the digests themselves are compared in constant time.
	bySlot map[uint64][]*entry
	// withdrawn holds digests that an earlier table had. It only distinguishes
	// withdrawn from never known.
	withdrawn map[[sha256.Size]byte]bool
}

// maxWithdrawn bounds the digests of withdrawn keys that are remembered.
const maxWithdrawn = 4096

// NewTable returns the table of the keys of a configuration. Keys whose digest
// is malformed give access to nothing.
func NewTable(c *spec.Config) *Table {
	t, _ := (&Table{}).next(c)
	return t
}

func slotOf(sum [sha256.Size]byte) uint64 { return binary.LittleEndian.Uint64(sum[:8]) }

// next returns the table of a newer configuration and the entries that are not
// in it any more.
func (t *Table) next(c *spec.Config) (*Table, []*entry) {
	n := &Table{
		bySlot:    make(map[uint64][]*entry, len(c.Keys)),
		withdrawn: map[[sha256.Size]byte]bool{},
	}
	for _, k := range c.Keys {
		sum, ok := k.DigestBytes()
		if !ok {
			continue
		}
		e := t.find(sum)
		if e == nil || e.keyID != k.ID || e.workspace != k.Workspace {
			e = &entry{sum: sum, keyID: k.ID, workspace: k.Workspace, gone: make(chan struct{})}
		}
		n.bySlot[slotOf(sum)] = append(n.bySlot[slotOf(sum)], e)
	}
	var gone []*entry
	for _, list := range t.bySlot {
		for _, e := range list {
			if n.find(e.sum) != e {
				gone = append(gone, e)
			}
		}
	}
	for _, e := range gone {
		n.remember(e.sum)
	}
	for sum := range t.withdrawn {
		n.remember(sum)
	}
	return n, gone
}

func (t *Table) remember(sum [sha256.Size]byte) {
	if len(t.withdrawn) < maxWithdrawn && t.find(sum) == nil {
		t.withdrawn[sum] = true
	}
}

func (t *Table) find(sum [sha256.Size]byte) *entry {
	var found *entry
	for _, e := range t.bySlot[slotOf(sum)] {
		if subtle.ConstantTimeCompare(e.sum[:], sum[:]) == 1 {
			found = e
		}
	}
	return found
}

// Lookup returns the workspace that the secret gives access to.
func (t *Table) Lookup(secret string) (workspace, keyID string, ok bool) {
	sum, ok := digest(secret)
	if !ok {
		return "", "", false
	}
	e := t.find(sum)
	if e == nil {
		return "", "", false
	}
	return e.workspace, e.keyID, true
}

// digest hashes the secret without allocating.
func digest(secret string) ([sha256.Size]byte, bool) {
	var buf [maxSecret]byte
	if secret == "" || len(secret) > len(buf) {
		return [sha256.Size]byte{}, false
	}
	n := copy(buf[:], secret)
	return sha256.Sum256(buf[:n]), true
}
