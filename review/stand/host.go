package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are the bounds of the small deployments that the settings of a host name.
const (
	drainMs   = 2500
	leaseMs   = 3000
	versionMs = 8000
	graceS    = 8
)

// Host is one entry host, started by the command of the deploy file.
type Host struct {
	record           *Record
	Name, IP         string
	Front, Ready     string
	peer, admin      string
	store, directory string
	command          *exec.Cmd
	done             chan struct{}
}

// zones are the zones of the deployment and their regions.
var zones = []string{"sul-a", "sul-b"}

// NewHost returns a host that has not started. Its store is the address of the platform's
// store.
func NewHost(record *Record, directory, hostName, ip, store string) *Host {
	return &Host{
		record: record, Name: hostName, IP: ip, store: store, directory: directory,
		Front: freeAddress(ip), Ready: freeAddress(ip), peer: freeAddress(ip), admin: freeAddress(ip),
	}
}

// freeAddress returns an address whose port is free for TCP and UDP.
func freeAddress(ip string) string {
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("no free port on %s: %v", ip, err)
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address
		}
	}
	fail("no free port on %s", ip)
	return ""
}

// settings returns the settings as the platform makes them from deploy/settings.toml.
func (h *Host) settings() string {
	var b strings.Builder
	for _, line := range []string{
		fmt.Sprintf("name = %q", h.Name), fmt.Sprintf("ip = %q", h.IP), `zone = "sul-a"`, `region = "sul"`,
		fmt.Sprintf("platform = %q", h.store), fmt.Sprintf("front = %q", h.Front), fmt.Sprintf("ready = %q", h.Ready),
		fmt.Sprintf("peer = %q", h.peer), fmt.Sprintf("admin = %q", h.admin), `level = "info"`, "memory = 284", "link = 1000.0",
		"share = 0.4", fmt.Sprintf("grace = %d", graceS), fmt.Sprintf("drain = %d", drainMs), fmt.Sprintf("lease = %d", leaseMs),
		fmt.Sprintf("weights = %d", versionMs), "ratio = 0.2", "slack = 52", "window = 10", "", "[zones]",
	} {
		b.WriteString(line + "\n")
	}
	for _, z := range zones {
		fmt.Fprintf(&b, "%q = \"sul\"\n", z)
	}
	return b.String()
}

// running holds the hosts that run, which the case ends at its end. None starts after that.
var running = struct {
	sync.Mutex
	hosts map[*Host]bool
	ended bool
}{hosts: map[*Host]bool{}}

// Start starts the process.
func (h *Host) Start() {
	file := filepath.Join(h.directory, h.Name+"-"+strings.ReplaceAll(h.Front, ":", "-")+".toml")
	if err := os.WriteFile(file, []byte(h.settings()), 0o600); err != nil {
		fail("write the settings: %v", err)
	}
	log, err := os.OpenFile(file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open the log: %v", err)
	}
	command, done := exec.Command("target/sesamed", "serve"), make(chan struct{})
	command.Env = append(os.Environ(), name["boot"]+"="+file)
	command.Stdout, command.Stderr = log, log
	running.Lock()
	if running.ended {
		running.Unlock()
		select {} // the case ends
	}
	err = command.Start()
	if err == nil {
		h.command, h.done = command, done
		running.hosts[h] = true
	}
	running.Unlock()
	if err != nil {
		fail("start target/sesamed: %v", err)
	}
	h.record.Add("host %s at %s starts", h.Name, h.IP)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.record.Add("host %s at %s gets signal %v", h.Name, h.IP, s)
	_ = h.command.Process.Signal(s)
}

// Kill ends the process at once.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.done
	running.Lock()
	delete(running.hosts, h)
	running.Unlock()
}

// endHosts ends all processes that the case has started.
func endHosts() {
	running.Lock()
	defer running.Unlock()
	running.ended = true
	for h := range running.hosts {
		_ = h.command.Process.Kill()
		<-h.done
	}
}

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Ready+"/ready", nil)
		resp, err := http.DefaultClient.Do(req)
		cancel()
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				h.record.Add("host %s is ready", h.Name)
				return
			}
		}
	}
	fail("host %s did not become ready", h.Name)
}
