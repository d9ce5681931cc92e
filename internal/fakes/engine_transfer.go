package fakes

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// blockStore is the interface of a store that engines use to transfer blocks.
type blockStore interface {
	reserve(ctx context.Context, key chain.Key, p target.BlockAnnouncement) (target.WriteStarted, error)
	fetch(ctx context.Context, key chain.Key, generation uint64, pin string) ([]byte, error)
	commit(ctx context.Context, key chain.Key, s target.CommitRequest) error
	write(ctx context.Context, key chain.Key, generation uint64, data []byte) error
}

var errChecksum = errors.New("length or checksum does not match")

// Export writes resident blocks of the account to a store and commits them.
func (e *Engine) Export(ctx context.Context, o target.ExportOrder) (target.ExportResult, error) {
	if err := e.admit(ctx); err != nil {
		return target.ExportResult{}, err
	}
	var result target.ExportResult
	for _, k := range o.Keys {
		e.mu.Lock()
		b, ok := e.cache.Peek(k)
		e.mu.Unlock()
		if !ok || b.Namespace.Account != o.Account {
			result.Refused = fmt.Sprintf("block %s of the account is not resident", k)
			continue
		}
		if err := e.exportBlock(ctx, o.Store, k, b); err != nil {
			result.Refused = err.Error()
			break
		}
		result.Committed = append(result.Committed, k)
	}
	e.mu.Lock()
	e.counts.Exports += len(result.Committed)
	e.mu.Unlock()
	return result, e.reply("export")
}

// Import copies a pinned block from a store into the cache. It verifies pin,
// generation, length and checksum, and that the pin was valid until the end of the
// transfer.
func (e *Engine) Import(ctx context.Context, o target.ImportOrder) error {
	if err := e.admit(ctx); err != nil {
		return err
	}
	data, err := e.storeAt(o.Store).fetch(ctx, o.Key, o.Pin.Generation, o.Pin.ID)
	if err == nil {
		err = e.transfer(ctx, o.Store, len(data))
	}
	var missing *target.MissingError
	switch {
	case errors.As(err, &missing):
		return err
	case err != nil:
		return &target.NotRunError{Target: e.name, Reason: fmt.Sprintf("importing a block: %v", err)}
	case !time.Now().Before(o.Pin.Expires):
		return e.invalidBlockError(o.Key, errors.New("the pin expired during the transfer"))
	case int64(len(data)) != o.Pin.Length || checksum(data) != o.Pin.Checksum:
		return e.invalidBlockError(o.Key, errChecksum)
	}
	b, err := decodeBlock(data)
	if err != nil {
		return e.invalidBlockError(o.Key, err)
	}
	e.mu.Lock()
	loaded := e.isLoaded(requestInNamespace(b.Namespace))
	if loaded {
		e.cacheBlock(o.Key, b)
		e.counts.Imports++
	}
	e.mu.Unlock()
	if !loaded {
		return e.invalidBlockError(o.Key, fmt.Errorf("version %s of model %s is not loaded", b.Namespace.Version, b.Namespace.Model))
	}
	return e.reply("import")
}

// exportBlock writes a block to a store and commits it.
func (e *Engine) exportBlock(ctx context.Context, address string, k chain.Key, b block) error {
	s := e.storeAt(address)
	data := encodeBlock(b, e.options.blockBytes)
	reserved, err := s.reserve(ctx, k, target.BlockAnnouncement{
		Account: b.Namespace.Account, ShardKey: b.ShardKey, Length: int64(len(data)),
	})
	if err != nil {
		return err
	}
	if err := e.transfer(ctx, address, len(data)); err != nil {
		return err
	}
	if err := s.write(ctx, k, reserved.Generation, data); err != nil {
		return err
	}
	return s.commit(ctx, k, target.CommitRequest{
		Generation: reserved.Generation, Length: int64(len(data)), Checksum: checksum(data),
	})
}

// invalidBlockError returns the error of an import whose data must not be used.
func (e *Engine) invalidBlockError(k chain.Key, err error) error {
	return &target.MissingError{Target: e.name, What: fmt.Sprintf("a valid copy of block %s: %v", k, err)}
}

// transfer waits until the link to the store has carried n bytes.
func (e *Engine) transfer(ctx context.Context, store string, n int) error {
	if e.options.linkTo == nil {
		return nil
	}
	return e.options.linkTo(store).transfer(ctx, n)
}

// storeAt returns the store with a name or address; it creates an HTTP client for an
// unknown one.
func (e *Engine) storeAt(address string) blockStore {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.stores[address]
	if !ok {
		s = newStoreClient(address)
		e.stores[address] = s
	}
	return s
}
