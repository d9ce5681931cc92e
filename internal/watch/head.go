package watch

import (
	"fmt"
	"time"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/pkg/config"
)

// Keys of the rows. Revisions have leading zeros so that a scan returns them in
// order.
const (
	headKey       = "doc/head"
	changePrefix  = "doc/change/"
	historyPrefix = "doc/history/"
	// maxTextBytes is the largest size of a change ID or author, which heartbeats carry.
	maxTextBytes = 64
)

// Head identifies a committed revision. The zero Head means that there is none.
type Head struct {
	Revision uint64      `cbor:"n" json:"revision"`
	Root     config.Hash `cbor:"r" json:"root"`
	// Change is the ID of the change that led to the revision.
	Change string `cbor:"c" json:"change"`
	Author string `cbor:"a" json:"author"`
	// Milliseconds is the time of the commit since 1970.
	Milliseconds int64 `cbor:"t" json:"milliseconds"`
}

// At returns the time of the commit.
func (h Head) At() time.Time { return time.UnixMilli(h.Milliseconds) }

// Check returns an error if no host can have written the head.
func (h Head) Check() error {
	if (h.Revision == 0) != h.Root.IsZero() || len(h.Change) > maxTextBytes || len(h.Author) > maxTextBytes {
		return fmt.Errorf("head of revision %d is damaged; apply the document again", h.Revision)
	}
	return nil
}

// String names the revision, its author, time and change.
func (h Head) String() string {
	return fmt.Sprintf("revision %d by %s at %s (change %s)", h.Revision, h.Author, h.At().UTC().Format(time.RFC3339), h.Change)
}

// ConflictError reports that another change was committed first.
type ConflictError struct {
	// Base is the revision that the rejected change is based on.
	Base  uint64
	Other Head
}

// Error names the other change and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but %s is already committed; compare with it and apply again",
		e.Base, e.Other)
}

// ReusedError reports that the change ID was already used for another document.
type ReusedError struct {
	Other Head
}

// Error names the other change and the remedy.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("change ID %q was used for another document in %s; use a new ID", e.Other.Change, e.Other)
}

// NotReadyError reports that this host does not know yet which revision is in
// force.
type NotReadyError struct{}

// Error names the remedy.
func (*NotReadyError) Error() string {
	return "this host has no configuration document in force yet; apply the change through a host that is ready, or try again"
}

// UnresolvedError reports that it is unknown whether a change was committed.
type UnresolvedError struct {
	Change string
	Reason string
}

// Error names the change and the remedy.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of change %q is unknown (%s); apply it again with the same ID, which cannot commit it twice",
		e.Change, e.Reason)
}

func historyKey(revision uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, revision) }

func objectName(h config.Hash) string { return "doc/" + h.String() }

// decodeHead decodes a row's value; it returns the zero Head for a row that does not
// exist.
func decodeHead(value []byte, version uint64) (Head, error) {
	var h Head
	if version == 0 {
		return h, nil
	}
	err := member.Decode(value, &h)
	return h, err
}
