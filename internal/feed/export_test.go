package feed

// SetSnapshotInterval sets the number of revisions between snapshots, so that
// short tests write some.
func (l *Log) SetSnapshotInterval(n int64) { l.snapshotInterval = n }
