package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const digestPrefix = "sha256:"

// Digest returns the digest of a secret in the format of Key.Digest.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// DigestBytes returns the digest of the key as bytes, and false if it is
// malformed.
func (k Key) DigestBytes() (sum [sha256.Size]byte, ok bool) {
	rest, ok := strings.CutPrefix(k.Digest, digestPrefix)
	if !ok || len(rest) != 2*len(sum) || strings.ToLower(rest) != rest {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(rest))
	return sum, err == nil
}

func (k *checker) keys() {
	seen := make(map[string]bool, len(k.c.Keys))
	digests := make(map[string]string, len(k.c.Keys))
	for i, key := range k.c.Keys {
		s := k.scope("keys", i, KindOfKey, key.ID)
		s.name("id", key.ID)
		unique(s, "id", seen, key.ID)
		if _, ok := k.index.Workspaces[key.Workspace]; !ok {
			s.add("workspace", "no workspace %q", key.Workspace)
		}
		if _, ok := key.DigestBytes(); !ok {
			// The message omits the value, which may be a secret pasted by mistake.
			s.add("digest", "is not %q and 64 hexadecimal digits", digestPrefix)
		} else if other, dup := digests[key.Digest]; dup {
			s.add("digest", "is also the digest of key %s", other)
		} else {
			digests[key.Digest] = key.ID
		}
	}
}
