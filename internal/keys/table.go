// Package keys checks the secrets in requests against the keys of the
// configuration, and limits for how long a result is valid without a confirmation
// that the configuration is current.
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
	// secretPrefix lets secret scanners recognise leaked secrets of this system.
	secretPrefix = "tfd-"
	// maxSecretLength bounds in bytes the input that is hashed for a request.
	// Generated secrets have 30 characters.
	maxSecretLength = 128
)

// Generate returns a new secret with 130 bits of randomness and its digest. The
// configuration stores only the digest.
func Generate() (secret, digest string) {
	secret = secretPrefix + strings.ToLower(rand.Text())
	return secret, spec.Digest(secret)
}

// entry is one key. An unchanged key keeps its entry in later tables, so that all
// streams of the key share the channel withdrawn.
type entry struct {
	sum       [sha256.Size]byte
	keyID     string
	workspace string
	withdrawn chan struct{}
}

// Table is an immutable index of keys by the digest of their secret.
type Table struct {
	// byDigestPrefix is indexed by the first 8 bytes of the digest. A caller cannot
	// choose the digest of a secret, so the duration of a map access reveals
	// nothing about other digests. Whole digests are compared in constant time.
	byDigestPrefix map[uint64][]*entry
	// withdrawn holds digests of keys that an earlier table contained. It is only
	// used to distinguish withdrawn keys from unknown ones.
	withdrawn map[[sha256.Size]byte]bool
}

// maxWithdrawnDigests bounds the digests of withdrawn keys that are remembered.
const maxWithdrawnDigests = 4096

// NewTable returns the table of the keys of a configuration. Keys with a malformed
// digest are ignored.
func NewTable(c *spec.Config) *Table {
	t, _ := (&Table{}).next(c)
	return t
}

func digestPrefix(sum [sha256.Size]byte) uint64 { return binary.LittleEndian.Uint64(sum[:8]) }

// next returns the table of a newer configuration, and the entries that it no
// longer contains.
func (t *Table) next(c *spec.Config) (*Table, []*entry) {
	n := &Table{
		byDigestPrefix: make(map[uint64][]*entry, len(c.Keys)),
		withdrawn:      map[[sha256.Size]byte]bool{},
	}
	for _, k := range c.Keys {
		sum, ok := k.DigestBytes()
		if !ok {
			continue
		}
		e := t.find(sum)
		if e == nil || e.keyID != k.ID || e.workspace != k.Workspace {
			e = &entry{sum: sum, keyID: k.ID, workspace: k.Workspace, withdrawn: make(chan struct{})}
		}
		n.byDigestPrefix[digestPrefix(sum)] = append(n.byDigestPrefix[digestPrefix(sum)], e)
	}
	var removed []*entry
	for _, list := range t.byDigestPrefix {
		for _, e := range list {
			if n.find(e.sum) != e {
				removed = append(removed, e)
			}
		}
	}
	for _, e := range removed {
		n.addWithdrawn(e.sum)
	}
	for sum := range t.withdrawn {
		n.addWithdrawn(sum)
	}
	return n, removed
}

// addWithdrawn records the digest of a withdrawn key, unless the table contains
// the key or the limit is reached.
func (t *Table) addWithdrawn(sum [sha256.Size]byte) {
	if len(t.withdrawn) < maxWithdrawnDigests && t.find(sum) == nil {
		t.withdrawn[sum] = true
	}
}

// find returns the entry with the digest, or nil. It compares every candidate, so
// that its duration does not depend on which one matches.
func (t *Table) find(sum [sha256.Size]byte) *entry {
	var found *entry
	for _, e := range t.byDigestPrefix[digestPrefix(sum)] {
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

// digest returns the SHA-256 digest of the secret without allocating. It returns
// false when the secret is empty or too long.
func digest(secret string) ([sha256.Size]byte, bool) {
	var buf [maxSecretLength]byte
	if secret == "" || len(secret) > len(buf) {
		return [sha256.Size]byte{}, false
	}
	n := copy(buf[:], secret)
	return sha256.Sum256(buf[:n]), true
}
