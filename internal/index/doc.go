// Package index records which targets hold the blocks of which prompts.
//
// A Shard is one owner's part of a zone's index. The owners of a chain are the
// 2 hosts that rendezvous hashing of the chain's shard key (the key of its first
// block) chooses among the live hosts of the zone, so all blocks of a prompt have
// the same owners.
//
// Entries come from cache events and inventories and are hints: a wrong one
// costs time, never correctness. The observer hosts of a target send each owner
// records that cover a range of sequence numbers. A record that starts after the
// last known sequence number makes the target suspect until an inventory replaces
// its entries. Events from before the inventory are ignored, and so is an inventory
// older than the applied events.
//
// Entry keys are the first 16 bytes of a block's key; a collision of these only
// causes another wrong hint. Target names are interned. An entry takes 32 bytes
// plus the unused capacity of the map.
//
// A Filter is a Bloom filter of shard keys for other regions. It takes 10 bits a
// key, and its false positive rate is 0.8%.
//
// # Usage
//
//	owners := index.NewOwners(hosts)
//	if owners.IsOwner(self, keys[0]) {
//		holders := shard.Lookup(keys)
//	}
//	if shard.Apply(record) {
//		// request an inventory from the observer host, then:
//		shard.Replace(name, index.Engine, inventory)
//	}
//
// A Shard is not safe for concurrent use.
package index
