// Package chain computes the keys of KV blocks.
//
// A prompt is divided into blocks of a fixed number of tokens. Each block has a
// key: a BLAKE3 hash over the cache namespace of the request (client account,
// model, adapter and weight version), the key of the parent block and the tokens
// of the block. Every field of the namespace is prefixed with its length, so no
// two namespaces encode to the same bytes. A block that was stored for another
// client account or another weight version therefore never matches.
//
// # Usage
//
//	namespace := chain.Namespace{Account: "keeper", Model: "advisor", Version: "1"}
//	keys := chain.Keys(namespace, tokens, 4096)
//
// Only complete blocks have keys. A prompt that has grown since its last request
// has the same keys as before for the blocks that it had then.
package chain
