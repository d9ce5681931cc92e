// Command stand plays a case of the review. It starts hosts by the command of the deploy
// file, between stand-ins that speak the users' protocol on loopback addresses.
//
// # Usage
//
//	stand CASE RECORD
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 the case leaves the disruption out. The working directory is
// the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTime bounds a case.
const playTime = 115 * time.Second

// Names in the operator's configuration.
const (
	routeHost = "review.example"
	modelName = "m"
	llm       = "llm"
)

// stage is what a case plays on.
type stage struct {
	record    *Record
	directory string
	store     *Store
	trouble   bool
}

// cases are the cases by their names. Each returns what it saw and whether the rule was broken.
var cases = map[string]func(s *stage) (broken bool, seen string){
	"software": playSoftware,
	"taken":    playTaken,
	"wall":     playWall,
	"stopped":  playStopped,
	"vanished": playVanished,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: stand CASE RECORD")
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fail("create the record: %v", err)
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("create a folder: %v", err)
	}
	s := &stage{record: record, directory: directory, store: NewStore(), trouble: os.Getenv("TROUBLE") != "0"}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-ended:
		case <-time.After(playTime):
		}
		fail("the case was ended before its end")
	}()
	broken, seen := cases[os.Args[1]](s)
	endHosts()
	record.Add("seen: %s", seen)
	record.Add("broken: %t", broken)
	record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(directory)
	} else {
		fmt.Println(directory)
	}
	fmt.Println(seen)
	if broken {
		os.Exit(1)
	}
}

// fail ends a case that cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	endHosts()
	os.Exit(2)
}

// tenant is a tenant of the operator's configuration.
type tenant struct {
	Name      string
	APIKeys   []string `json:"ApiKeys"`
	Dedicated bool
}

// putConfig writes a configuration with one route, of streams that may be resumed.
func (s *stage) putConfig(version int, tenants ...tenant) {
	s.store.Put("op", "config", map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{
				"Name": "history", "Host": routeHost, "Prefix": "/history/", "Kind": "streaming", "TimeoutMs": 15000, "GoalMs": 1000,
				"Priority": 2, "Service": llm, "Attempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapAimMs": 500,
			},
		},
		"Services": []any{
			map[string]any{"Name": llm, "HealthPath": "/health", "MaxConns": 290, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": defaultSlots, "KvCapacity": 119587, "KvTokenBytes": 163840, "LinkMbps": 180000.0, "MaxInflight": 12, "Managed": true,
				"Models": []any{map[string]any{"Name": modelName}},
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	})
	s.record.Add("operator writes configuration %d with tenants %+v", version, tenants)
}

// host returns a host with a door of its own at the store.
func (s *stage) host(hostName, ip string) *Host {
	return NewHost(s.record, s.directory, hostName, ip, s.store.Door(hostName))
}

// newWorker returns an engine that has not started.
func (s *stage) newWorker(id string) *Worker {
	return &Worker{store: s.store, record: s.record, ID: id, service: llm, zone: "sul-a", slots: defaultSlots, loadTime: loadTime}
}
