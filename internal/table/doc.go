// Package table defines the interfaces of the platform that sesamehill uses: a
// transactional table, an object store, and a list of hosts and targets that lags
// behind their current state. Client implements them over HTTP.
//
// # Usage
//
//	err := t.Write(ctx, []table.Op{{Key: "doc/head", Version: 3, Value: head}})
//	var conflict *table.ConflictError
//	switch {
//	case errors.As(err, &conflict):
//		// another writer changed the row first
//	case table.IsUnknownOutcome(err):
//		// the reply was lost: read the row back
//	}
package table
