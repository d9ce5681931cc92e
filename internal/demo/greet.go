package demo

import (
	"fmt"
	"io"
	"path/filepath"
)

// printGreeting prints the addresses of the hosts and example commands.
func (d *deployment) printGreeting(w io.Writer) {
	first := d.settings[0]
	_, _ = fmt.Fprintf(w, "sesamehill demo: %d hosts and %d targets in %d regions on loopback\n\n",
		len(d.settings), len(d.listing.Targets), len(d.document.Regions))
	for _, s := range d.settings {
		_, _ = fmt.Fprintf(w, "  %-18s callers http://%s   operators http://%s\n", s.Name, s.Listen, s.Admin)
	}
	_, _ = fmt.Fprintf(w, `
Try, from another terminal:

  curl -N http://%[1]s/v1/completions -H 'Authorization: Bearer keeper-key' \
    -d '{"model":"advisor","prompt":"the colony at the old mill swarmed twice","max_tokens":20,"stream":true}'

  curl http://%[1]s/svc/dispatch/catchers -H 'Authorization: Bearer borough-key' \
    -H 'Idempotency-Key: order-1' -d '{"route":7}'

  curl http://%[2]s/state

Operators sign in with the key %[3]s, at the console or from the command line:

  http://%[2]s/
  SESAMECTL_KEY=%[3]s go run ./cmd/sesamectl status -admin %[2]s

Press Ctrl-C to drain every host and stop.
`, first.Listen, first.Admin, operatorKey)
}

// printSplitGreeting prints the commands that start the hosts as separate processes.
func (d *deployment) printSplitGreeting(w io.Writer, dir string) {
	_, _ = fmt.Fprintf(w, "sesamehill demo: %d targets and the platform run here; start each host with\n\n", len(d.listing.Targets))
	for _, s := range d.settings {
		_, _ = fmt.Fprintf(w, "  go run ./cmd/sesamed run -settings %s\n", filepath.Join(dir, s.Name+".toml"))
	}
	_, _ = fmt.Fprint(w, "\nPress Ctrl-C to stop.\n")
}
