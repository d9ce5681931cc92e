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
	// readyTime bounds the start of a host, stopTime its end after SIGTERM.
	readyTime = 10 * time.Second
	stopTime  = 8 * time.Second
	readyPace = 20 * time.Millisecond
	// hostAddresses is the number of addresses that a host listens on.
	hostAddresses = 4
	accountKey    = "trial-key"
)

// host is a host that runs as a process of its own.
type host struct {
	zone    Zone
	front   string
	ready   string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
}

// startHost starts a host; its settings and log are files in a directory.
func startHost(program, directory, platform string, policy place.Policy, p Pattern, n int) (*host, error) {
	addresses, err := freeAddresses(hostAddresses)
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
	h := &host{zone: zone, front: s.Front, ready: s.Ready, log: log, done: make(chan struct{})}
	h.command = exec.Command(program, "serve", "-settings", file)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		_ = log.Close() // nothing was written
		return nil, errors.Annotatef(err, "start %s; build it or name it with -sesamed", program)
	}
	go func() {
		defer close(h.done)
		_ = h.command.Wait() // its state says how it ended
	}()
	return h, nil
}

// await waits until the host is ready.
func (h *host) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/ready", nil)
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
			return fmt.Errorf("a host ended while starting (%v); see %s", h.command.ProcessState, h.log.Name())
		default:
		}
		if pause.For(ctx, readyPace) != nil {
			return fmt.Errorf("a host was not ready after %s; see %s", readyTime, h.log.Name())
		}
	}
}

// stop ends the host, first with SIGTERM.
func (h *host) stop() {
	_ = h.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-h.done:
	case <-time.After(stopTime):
		_ = h.command.Process.Kill()
		<-h.done
	}
	_ = h.log.Close() // the writer has ended
}

// freeAddresses returns addresses on loopback that are free now.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Annotate(err, "find a free address; end other programs")
		}
		defer func() { _ = l.Close() }() // it was never used
		out = append(out, l.Addr().String())
	}
	return out, nil
}
