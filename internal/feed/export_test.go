package feed

// SetSnapshotEvery makes snapshots frequent enough for short tests.
func (l *Log) SetSnapshotEvery(n int64) { l.every = n }
