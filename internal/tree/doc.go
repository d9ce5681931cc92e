// Package tree supervises the components of a host, such as its listeners and its
// polling loops. A component that panics, fails or returns early restarts alone,
// after a delay that doubles while it keeps failing; the other components continue.
// Each component has its own suture supervisor, because the back-off of a suture
// supervisor pauses all of its services.
//
// Changes of state are logged, and restarts are counted by component in the expvar
// map "restarts".
//
// # Usage
//
//	t := tree.New("host-1", tree.WithLog(log))
//	t.Add("watch", watcher.Run)
//	t.Add("peers", func(ctx context.Context) error {
//		l, err := net.Listen("tcp", address)
//		if err != nil {
//			return tree.Fatal(err) // stops the whole tree
//		}
//		return serve(ctx, l)
//	})
//	err := t.Run(ctx) // nil once ctx is cancelled and the components have stopped
package tree
