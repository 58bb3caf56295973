// Package feed keeps the configuration log: the rows of the table from which
// every node builds its configuration, the order in which it applies them, and
// how recent its view is known to be.
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
	// maxPlain bounds what a compressed row may expand to. A configuration of
	// the design size has less than 1 MB.
	maxPlain = 64 << 20
	// Rows above gzipAbove are compressed. Usual changes of one item are below.
	gzipAbove = 4 << 10
)

// Entry is one revision of the log. Row is the value of the table's row and is
// passed on unchanged, so that a node of an older version loses nothing.
type Entry struct {
	Revision int64  `cbor:"1,keyasint"`
	Row      []byte `cbor:"2,keyasint"`

	change *spec.Change
}

func rowKey(revision int64) string { return fmt.Sprintf("%s%012d", rowPrefix, revision) }

func revisionOf(key string) (int64, error) {
	digits, ok := strings.CutPrefix(key, rowPrefix)
	n, err := strconv.ParseInt(digits, 10, 64)
	if !ok || err != nil || n < 1 {
		return 0, fmt.Errorf("feed: %q is not the key of a revision", key)
	}
	return n, nil
}

func newEntry(revision int64, c spec.Change) (Entry, error) {
	row, err := json.Marshal(c)
	if err != nil {
		return Entry{}, fmt.Errorf("feed: encode revision %d: %w", revision, err)
	}
	if len(row) > gzipAbove {
		if row, err = deflate(row); err != nil {
			return Entry{}, fmt.Errorf("feed: compress revision %d: %w", revision, err)
		}
	}
	return Entry{Revision: revision, Row: row, change: &c}, nil
}

// Validate decodes the row.
func (e *Entry) Validate() error {
	if e.change != nil {
		return nil
	}
	if e.Revision < 1 {
		return fmt.Errorf("feed: revision %d is below 1", e.Revision)
	}
	plain, err := inflate(e.Row)
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

// Change returns the change of a valid entry, which must not be modified.
func (e Entry) Change() *spec.Change { return e.change }

func deflate(plain []byte) ([]byte, error) {
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

func inflate(data []byte) ([]byte, error) {
	if len(data) < 2 || data[0] != 0x1f || data[1] != 0x8b {
		return data, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxPlain+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPlain {
		return nil, fmt.Errorf("more than %d bytes", maxPlain)
	}
	return plain, nil
}

func encodeSnapshot(c *spec.Config) ([]byte, error) {
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return deflate(plain)
}

func decodeSnapshot(data []byte) (*spec.Config, error) {
	plain, err := inflate(data)
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
