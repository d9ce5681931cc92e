package member

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"storj.io/drpc"
)

// Bounds of messages in bytes.
const (
	// MaxHeartbeatBytes keeps three heartbeats per second and their replies within
	// the 11 KB/s that a host may use for control messages.
	MaxHeartbeatBytes = 2 << 10
	// MaxMessageBytes bounds all other messages except records, filters and
	// forwarded requests.
	MaxMessageBytes = 64 << 10
	// MaxHandoverBytes is enough for a prompt of 131,072 tokens at 5 bytes each and
	// its keys.
	MaxHandoverBytes = 1 << 20
	// MaxRecordBytes is enough for an inventory of 10,000 KV blocks at 100 bytes each.
	MaxRecordBytes = 1 << 20
	// frameOverheadBytes is reserved for drpc's framing and the name of the call.
	frameOverheadBytes = 1 << 10
)

// SizeError reports that a message is larger than its limit.
type SizeError struct {
	Message string
	Bytes   int
	Limit   int
}

// Error names the message, both sizes and the remedy.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message %s has %d bytes, but the limit is %d; split it into smaller messages", e.Message, e.Bytes, e.Limit)
}

// message is a message between hosts.
type message interface {
	// Check returns an error for content that no host sends. Decode calls it.
	Check() error
	limit() int
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// Encode encodes a value for messages and extensions.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Trace(err)
}

// Decode decodes what Encode returns, and checks the value if it has a Check
// method. It ignores unknown fields, because hosts of two releases run side by
// side during an upgrade.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return errors.Trace(err)
	}
	if c, ok := v.(interface{ Check() error }); ok {
		return errors.Trace(c.Check())
	}
	return nil
}

// encoding implements drpc.Encoding with CBOR.
type encoding struct{}

var _ drpc.Encoding = encoding{}

// Marshal encodes a message and enforces its size limit.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	m, ok := msg.(message)
	if !ok {
		return nil, errors.Errorf("%T is not a message between hosts", msg)
	}
	b, err := Encode(m)
	if err != nil {
		return nil, errors.Annotatef(err, "encode %T", msg)
	}
	if len(b) > m.limit() {
		return nil, &SizeError{Message: fmt.Sprintf("%T", msg), Bytes: len(b), Limit: m.limit()}
	}
	return b, nil
}

// Unmarshal enforces the size limit of a message, and decodes and checks it.
func (encoding) Unmarshal(data []byte, msg drpc.Message) error {
	m, ok := msg.(message)
	if !ok {
		return errors.Errorf("%T is not a message between hosts", msg)
	}
	if len(data) > m.limit() {
		return &SizeError{Message: fmt.Sprintf("%T", msg), Bytes: len(data), Limit: m.limit()}
	}
	return errors.Annotatef(Decode(data, m), "decode %T", msg)
}

func encodedSize(v any) int {
	b, _ := Encode(v)
	return len(b)
}

func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	// Keys of KV blocks take 34 bytes as byte strings and up to 66 as arrays.
	options.ByteArray = cbor.ByteArrayToByteSlice
	options.Time = cbor.TimeUnixMicro
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		// A forwarded request holds up to 131,072 tokens; twice that many 5-byte
		// tokens would exceed its size limit.
		MaxArrayElements: MaxHandoverBytes,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
