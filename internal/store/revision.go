package store

// A store that is restored from a copy gives out versions again that it had given out
// before. A revision orders versions across such restores: it consists of the era, which
// rises with each restore, and the version within the era. Without restores the revision
// is the version. Those of the first 8,192 eras are exact as JSON numbers too.

// versionBits is the number of bits of a revision that hold the version.
const versionBits = 40

// MaxEra is the highest era that a revision holds.
const MaxEra = 1<<(63-versionBits) - 1

// Revision returns the revision of a version in an era.
func Revision(era, version int64) int64 { return era<<versionBits | version&(1<<versionBits-1) }

// Era returns the era of a revision.
func Era(revision int64) int64 { return revision >> versionBits }

// Version returns the version of a revision within its era.
func Version(revision int64) int64 { return revision & (1<<versionBits - 1) }
