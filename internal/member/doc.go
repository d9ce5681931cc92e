// Package member implements the membership of the hosts of a deployment and the
// messages between hosts.
//
// Table is the core. Each host keeps a record of every member; merging records in
// any order gives the same result. A host that does not answer a heartbeat, neither
// directly nor through two other hosts, becomes suspect. It is declared dead unless
// it refutes the suspicion by a higher incarnation. The platform's list only
// provides addresses to contact.
//
// Gossip runs a Table: it sends heartbeats, which carry recent member updates and
// the extensions of other packages. Client and Server transport the messages over
// drpc in CBOR.
//
// # Usage
//
//	members := member.NewTable(self)
//	client := member.NewClient()
//	gossip, err := member.NewGossip(members, client, member.WithExtensions(loads))
//	server, err := member.NewServer(member.HandleControl(gossip), member.HandleLookups(index))
//	go server.Serve(ctx, listener)
//	gossip.Seed(listing.Hosts)
//	err = gossip.Run(ctx)
package member
