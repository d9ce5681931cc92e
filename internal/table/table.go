package table

import (
	"context"
	"errors"
	"fmt"
)

// Row is one row of the table. A row that does not exist has version 0.
type Row struct {
	Key     string `json:"key" cbor:"key"`
	Version uint64 `json:"version" cbor:"version"`
	Value   []byte `json:"value" cbor:"value"`
}

// Op is a conditional put or delete. It takes effect only if the row has the
// given version; version 0 means that the row must not exist.
type Op struct {
	Key     string `json:"key" cbor:"key"`
	Version uint64 `json:"version" cbor:"version"`
	Value   []byte `json:"value,omitempty" cbor:"value,omitempty"`
	Delete  bool   `json:"delete,omitempty" cbor:"delete,omitempty"`
}

// Table is the platform's transactional table.
type Table interface {
	// Read returns the rows of the keys, in order.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and sorts after
	// the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Write applies all ops or none.
	Write(ctx context.Context, ops []Op) error
}

// Versioned is a table whose writes return the version of the written rows.
type Versioned interface {
	// WriteVersion applies all ops or none and returns the version of their rows.
	WriteVersion(ctx context.Context, ops []Op) (uint64, error)
}

// Restorable is a table of a platform that may be restored from an earlier copy, which
// loses rows that were written since and gives their versions out again.
type Restorable interface {
	// Era returns the highest number of restores that the platform has stated in its
	// responses; zero if it states none.
	Era() uint64
}

// Objects is the platform's object store.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// Kind is the kind of a listed target.
type Kind string

// Kinds of targets.
const (
	Engine  Kind = "engine"
	Store   Kind = "store"
	Service Kind = "service"
)

// State is the state of a listed target or host.
type State string

// States of targets and hosts.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// ListedTarget is a target in the platform's list.
type ListedTarget struct {
	Name    string `json:"name" cbor:"name"`
	Kind    Kind   `json:"kind" cbor:"kind"`
	Address string `json:"address" cbor:"address"`
	Region  string `json:"region" cbor:"region"`
	Zone    string `json:"zone" cbor:"zone"`
	// Service is the name of the plain service, for targets of that kind.
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	// Software is the version of the target's software; empty if it states none.
	Software string `json:"software,omitempty" cbor:"software,omitempty"`
	// ChecksFencing is set if the target rejects orders with an old fencing token.
	ChecksFencing bool  `json:"fenced,omitempty" cbor:"fenced,omitempty"`
	State         State `json:"state" cbor:"state"`
}

// ListedHost is a host in the platform's list.
type ListedHost struct {
	Name    string `json:"name" cbor:"name"`
	Address string `json:"address" cbor:"address"`
	Region  string `json:"region" cbor:"region"`
	Zone    string `json:"zone" cbor:"zone"`
	State   State  `json:"state" cbor:"state"`
}

// Lister reads the platform's list.
type Lister interface {
	List(ctx context.Context) (Listing, error)
}

// ConflictError is returned if a row did not have the expected version. Nothing was
// written.
type ConflictError struct {
	Key     string
	Version uint64
}

// Error names the row and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d; read it again and retry with the new version", e.Key, e.Version)
}

// UnknownOutcomeError is returned if a write may or may not have taken effect.
type UnknownOutcomeError struct {
	Reason string
}

// Error names the reason and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown (%s); read the rows back before retrying", e.Reason)
}

// DownError is returned if the platform did not execute the request.
type DownError struct {
	Reason string
}

// Error names the reason and the remedy.
func (e *DownError) Error() string {
	return fmt.Sprintf("platform is unavailable (%s); retry with back-off", e.Reason)
}

// MissingError is returned if an object does not exist.
type MissingError struct {
	Name string
}

// Error names the object and the remedy.
func (e *MissingError) Error() string {
	return fmt.Sprintf("object %q does not exist; request it from another host", e.Name)
}

// IsUnknownOutcome reports whether the write behind err may have taken effect.
func IsUnknownOutcome(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}
