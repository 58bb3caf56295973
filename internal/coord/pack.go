package coord

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"trefoildale.example/trefoildale/internal/fleet"
)

// Configurations and lists of endpoints go to every node. They are compressed,
// since sending them takes most of the coordinator's link otherwise: a configuration
// of 330 models has 45 kB.

// maxUnpacked limits the size of a decompressed message.
const maxUnpacked = 16 << 20

// pack compresses b.
func pack(b []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		// The level is valid.
		panic("coord: compress: " + err.Error())
	}
	// Writes to a buffer do not fail.
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

// unpack decompresses what pack returned.
func unpack(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("coord: decompress: %w", err)
	}
	if len(out) > maxUnpacked {
		return nil, fmt.Errorf("coord: decompress: more than %d bytes", maxUnpacked)
	}
	return out, nil
}

// packEntries encodes and compresses the entries of a Listing.
func packEntries(entries []fleet.Change) []byte {
	b, err := cbor.Marshal(splitEntries(entries))
	if err != nil {
		// Entries consist of strings and numbers only, which always encode.
		panic("coord: encode entries: " + err.Error())
	}
	return pack(b)
}

// raw returns the uncompressed configuration.
func (d *Document) raw() ([]byte, error) {
	if len(d.Packed) == 0 {
		return d.Raw, nil
	}
	return unpack(d.Packed)
}

// entries decodes the entries of the listing.
func (l *Listing) entries() ([]fleet.Change, error) {
	if len(l.Packed) == 0 {
		plain := make([]wireEntry, len(l.Entries))
		for i, c := range l.Entries {
			plain[i].Change = c
		}
		return l.joinEntries(plain), nil
	}
	b, err := unpack(l.Packed)
	if err != nil {
		return nil, err
	}
	var out []wireEntry
	if err := cbor.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("coord: decode entries: %w", err)
	}
	return l.joinEntries(out), nil
}
