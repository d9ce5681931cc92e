// Package tunnel connects a host to a target through another host.
//
// A host that has lost its path to the targets, but not to the other hosts, opens a
// tunnel at a host that has one. The host that opened it stays the one that decides: the
// other only connects to the target and passes bytes on, to targets that it lists and for
// hosts that it lists, and never through a third host.
//
// A tunnel is a connection that is upgraded (HTTP status 101). Bytes to the target follow
// as they are. Bytes from the target come in frames, a length of four bytes before each,
// and end with a frame of length zero. The end of a tunnel without that frame is an
// error, so that a response which ends with its connection does not look complete after
// the host in between has died.
//
// # Usage
//
//	conn, err := tunnel.Dial(ctx, dialer, "10.1.0.20:7260", targetID)
//	mux.Handle("GET "+tunnel.Path, tunnel.NewServer(connect))
package tunnel

const (
	// Path is the path at which a host opens tunnels.
	Path = "/tunnel"
	// Protocol is the name of the protocol to which a connection is upgraded.
	Protocol = "sesamehill-tunnel"
	// TargetHeader names the target of a tunnel.
	TargetHeader = "Sesamehill-Target"
	// maxFrameBytes bounds a frame, frameHeaderBytes is the size of its length.
	maxFrameBytes    = 8 << 10
	frameHeaderBytes = 4
)
