// Package member holds the membership of the hosts of a deployment and the
// messages between them.
//
// Table is the membership core. Each host keeps a record of every member; the
// records merge in any order to the same result. A host that does not answer a
// heartbeat, neither directly nor through two other hosts, is suspected, and is
// declared dead if it does not refute that by a higher incarnation. The
// platform's list only provides addresses to contact.
//
// Gossip drives a Table: it sends heartbeats, each with recent member updates
// and with extensions that other packages attach. Client and Server carry the
// messages over drpc in CBOR.
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
