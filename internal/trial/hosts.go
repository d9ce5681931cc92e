package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/server"
)

const (
	// readyTimeout limits the start of a host, and stopTimeout its shutdown after
	// SIGTERM.
	readyTimeout      = 10 * time.Second
	stopTimeout       = 8 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// addressesPerHost is the number of addresses that a host listens on.
	addressesPerHost = 4
	accountKey       = "trial-key"
)

// host is a host that runs as a separate process.
type host struct {
	zone          Zone
	callerAddress string
	readyAddress  string
	command       *exec.Cmd
	log           *os.File
	done          chan struct{}
}

// startHost starts the nth host of a pattern. It writes the host's settings and log to
// files in a directory.
func startHost(program, directory, platform string, policy place.Policy, p Pattern, n int) (*host, error) {
	addresses, err := freeAddresses(addressesPerHost)
	if err != nil {
		return nil, errors.Trace(err)
	}
	zone := p.Zones[n%len(p.Zones)]
	s := server.Settings{
		Name: fmt.Sprint("host-", n), IP: "127.0.0.1", Zone: zone.Name, Region: zone.Region, Platform: platform,
		Front: addresses[0], Ready: addresses[1], Peer: addresses[2], Admin: addresses[3], Level: "info",
		Memory: 256, Grace: 5, Drain: 2500, Lease: 3000, Weights: 8000, Ratio: 0.2, Slack: 50, Window: 10,
		Placement: string(policy), Zones: map[string]string{},
	}
	for _, z := range p.Zones {
		s.Zones[z.Name] = z.Region
	}
	file := filepath.Join(directory, s.Name+".toml")
	text, err := toml.Marshal(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	log, err := os.Create(filepath.Join(directory, s.Name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := &host{zone: zone, callerAddress: s.Front, readyAddress: s.Ready, log: log, done: make(chan struct{})}
	h.command = exec.Command(program, "serve", "-settings", file)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		_ = log.Close() // the file is empty
		return nil, errors.Annotatef(err, "start %s; build it or give its path with -sesamed", program)
	}
	go func() {
		defer close(h.done)
		_ = h.command.Wait() // ProcessState has the exit status
	}()
	return h, nil
}

// waitReady waits until the host reports that it is ready.
func (h *host) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readyAddress+"/ready", nil)
		if err != nil {
			return errors.Trace(err)
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close() // only the status counts
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-h.done:
			return fmt.Errorf("a host exited while starting (%v); see %s", h.command.ProcessState, h.log.Name())
		default:
		}
		if pause.For(ctx, readyPollInterval) != nil {
			return fmt.Errorf("a host was not ready after %s; see %s", readyTimeout, h.log.Name())
		}
	}
}

// stop terminates the host with SIGTERM, and kills it after stopTimeout.
func (h *host) stop() {
	_ = h.command.Process.Signal(syscall.SIGTERM) // the process may have exited already
	select {
	case <-h.done:
	case <-time.After(stopTimeout):
		_ = h.command.Process.Kill()
		<-h.done
	}
	_ = h.log.Close() // the process that wrote it has exited
}

// freeAddresses returns n loopback addresses that are free at the time of the call.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Annotate(err, "find a free loopback address; stop other programs that listen")
		}
		defer func() { _ = l.Close() }() // no connection was accepted
		out = append(out, l.Addr().String())
	}
	return out, nil
}
