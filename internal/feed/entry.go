// Package feed implements the configuration log: it reads and appends the table
// rows from which every node builds its configuration, distributes them between
// nodes, and tracks how recent each node's view is known to be.
package feed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"trefoildale.example/trefoildale/pkg/spec"
)

const (
	rowPrefix   = "config/"
	snapshotRow = "config-snapshot"
	// maxDecompressedSize bounds the decompressed size of a row. A configuration of
	// the design size is below 1 MB.
	maxDecompressedSize = 64 << 20
	// compressionThreshold is the row size in bytes above which rows are
	// compressed. Typical changes of a single item are smaller.
	compressionThreshold = 4 << 10
)

// Entry is one revision of the log. Row is the value of the table row. It is
// forwarded unchanged, so that a node of an older version does not drop fields
// it does not know.
type Entry struct {
	Revision int64  `cbor:"1,keyasint"`
	Row      []byte `cbor:"2,keyasint"`

	change *spec.Change
}

func rowKey(revision int64) string { return fmt.Sprintf("%s%012d", rowPrefix, revision) }

func revisionOf(key string) (int64, error) {
	digits, ok := strings.CutPrefix(key, rowPrefix)
	n, err := strconv.ParseInt(digits, 10, 64)
	if !ok || err != nil || n < 1 || key != rowKey(n) {
		return 0, fmt.Errorf("feed: %.80q is not the key of a revision", key)
	}
	return n, nil
}

func newEntry(revision int64, c spec.Change) (Entry, error) {
	row, err := json.Marshal(c)
	if err != nil {
		return Entry{}, fmt.Errorf("feed: encode revision %d: %w", revision, err)
	}
	if len(row) > compressionThreshold {
		if row, err = compress(row); err != nil {
			return Entry{}, fmt.Errorf("feed: compress revision %d: %w", revision, err)
		}
	}
	return Entry{Revision: revision, Row: row, change: &c}, nil
}

// Validate decodes the row and checks that it holds a change.
func (e *Entry) Validate() error {
	if e.change != nil {
		return nil
	}
	if e.Revision < 1 {
		return fmt.Errorf("feed: revision %d is below 1", e.Revision)
	}
	plain, err := decompress(e.Row)
	if err != nil {
		return fmt.Errorf("feed: decompress revision %d: %w", e.Revision, err)
	}
	c := new(spec.Change)
	if err := json.Unmarshal(plain, c); err != nil {
		return fmt.Errorf("feed: decode revision %d: %w", e.Revision, err)
	}
	if c.OpID == "" || c.Empty() {
		return fmt.Errorf("feed: revision %d holds no change", e.Revision)
	}
	e.change = c
	return nil
}

// Change returns the decoded change of an entry that passed Validate. The
// caller must not modify it.
func (e Entry) Change() *spec.Change { return e.change }

func compress(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(plain); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	if len(data) < 2 || data[0] != 0x1f || data[1] != 0x8b {
		return data, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxDecompressedSize+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDecompressedSize {
		return nil, fmt.Errorf("more than %d bytes", maxDecompressedSize)
	}
	return plain, nil
}

func encodeSnapshot(c *spec.Config) ([]byte, error) {
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return compress(plain)
}

func decodeSnapshot(data []byte) (*spec.Config, error) {
	plain, err := decompress(data)
	if err != nil {
		return nil, err
	}
	c := new(spec.Config)
	if err := json.Unmarshal(plain, c); err != nil {
		return nil, err
	}
	if c.Revision < 1 {
		return nil, fmt.Errorf("revision %d is below 1", c.Revision)
	}
	return c, nil
}
