package member

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"storj.io/drpc"
)

// Bounds of messages in bytes.
const (
	// MaxHeartbeatBytes keeps three heartbeats a second and their replies within
	// a host's 11 KB/s for control.
	MaxHeartbeatBytes = 2 << 10
	// MaxMessageBytes bounds every other message but a handover.
	MaxMessageBytes = 64 << 10
	// MaxHandoverBytes takes a prompt of 131,072 tokens at 5 bytes each and its
	// keys.
	MaxHandoverBytes = 1 << 20
	// MaxRecordBytes takes an inventory of 10,000 pieces at 100 bytes each.
	MaxRecordBytes = 1 << 20
	// frameOverheadBytes is room for drpc's framing and the name of the call.
	frameOverheadBytes = 1 << 10
)

// SizeError says that a message is larger than its bound.
type SizeError struct {
	Message string
	Bytes   int
	Limit   int
}

// Error names the message, both sizes and the remedy.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message %s has %d bytes, the limit is %d; send it in smaller parts", e.Message, e.Bytes, e.Limit)
}

// message is what hosts send to each other.
type message interface {
	// Check reports content that no host sends. It runs in the decode step.
	Check() error
	limit() int
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// Encode encodes a value as messages and extensions do.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Trace(err)
}

// Decode decodes what Encode returns, and checks the value if it has a Check
// method. Unknown fields are ignored: hosts of two releases run side by side
// during an upgrade.
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

// Marshal encodes a message and enforces its bound.
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

// Unmarshal enforces a message's bound, decodes and checks it.
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
	o := cbor.CoreDetEncOptions()
	// Keys of pieces take 34 bytes as byte strings and up to 66 as arrays.
	o.ByteArray = cbor.ByteArrayToByteSlice
	o.Time = cbor.TimeUnixMicro
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		// A handover holds up to 131,072 tokens; twice that many 5-byte tokens
		// would not fit into its bound.
		MaxArrayElements: MaxHandoverBytes,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
