// Package wire transports the messages between entry processes over gRPC. The
// CBOR codec encodes the Go types of other packages directly, so no generated
// code is needed.
package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// codecName is the gRPC content subtype.
const codecName = "cbor"

// Bounds on a decoded message. The largest valid message is a Sync reply with a
// few hundred configuration changes.
const (
	maxMessageBytes  = 4 << 20
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 17
)

// validator is implemented by messages that are validated after decoding.
type validator interface {
	Validate() error
}

type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec() *codec {
	enc, err := cbor.EncOptions{
		Time: cbor.TimeUnixMicro,
	}.EncMode()
	if err != nil {
		panic("wire: encoding options: " + err.Error())
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic("wire: decoding options: " + err.Error())
	}
	return &codec{
		enc: enc,
		dec: dec,
	}
}

func init() {
	encoding.RegisterCodec(newCodec())
}

// Name implements encoding.Codec.
func (*codec) Name() string {
	return codecName
}

// Marshal implements encoding.Codec.
func (c *codec) Marshal(v any) ([]byte, error) {
	return c.enc.Marshal(v)
}

// Unmarshal implements encoding.Codec. A message that fails its validation is
// rejected like one that cannot be decoded.
func (c *codec) Unmarshal(data []byte, v any) error {
	if err := c.dec.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if m, ok := v.(validator); ok {
		if err := m.Validate(); err != nil {
			return fmt.Errorf("check %T: %w", v, err)
		}
	}
	return nil
}
