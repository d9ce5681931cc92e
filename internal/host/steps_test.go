package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/table"
)

func (w *world) sendCompletion(args []string) error {
	o := parseOptions(args[5:])
	max, err := strconv.Atoi(args[4])
	if err != nil {
		return err
	}
	prompt, err := parsePrompt(args[3])
	if err != nil {
		return err
	}
	stream := o["stream"] != ""
	body := map[string]any{"model": "advisor", "prompt": prompt, "max_tokens": max, "stream": stream}
	if stream {
		body["stream_options"] = map[string]any{"include_usage": true}
	}
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	s := &clientRequest{method: "POST", body: b, stream: stream, prompt: prompt, maxTokens: max, header: map[string]string{}}
	if t := o["timeout"]; t != "" {
		s.header["X-Timeout"] = t
	}
	return w.sendRequest(args[0], args[1], args[2], "/v1/completions", s)
}

func (w *world) resume(args []string) error {
	from := w.requests[args[3]]
	if from == nil {
		return fmt.Errorf("no request with ID %q", args[3])
	}
	from.mu.Lock()
	s := &clientRequest{
		method: "POST", stream: true, prompt: from.prompt, maxTokens: from.maxTokens, earlierText: from.earlierText + from.text,
		header: map[string]string{"Last-Event-ID": from.lastEventID},
	}
	from.mu.Unlock()
	return w.sendRequest(args[0], args[1], args[2], "/v1/completions", s)
}

func (w *world) sendServiceCall(args []string) error {
	s := &clientRequest{method: "POST", body: []byte(args[4]), header: map[string]string{"Idempotency-Key": args[3]}}
	return w.sendRequest(args[0], args[1], args[2], "/svc/dispatch/catchers", s)
}

// sendRequest starts a request in the background.
func (w *world) sendRequest(id, name, account, path string, s *clientRequest) error {
	e := w.hosts[name]
	if e == nil || w.requests[id] != nil {
		return fmt.Errorf("unknown host %q, or request ID %q is already in use", name, id)
	}
	s.url, s.key, s.done = "http://"+e.settings.Listen+path, account+"-key", make(chan struct{})
	w.requests[id] = s
	go s.execute()
	return nil
}

func (w *world) expect(args []string) error {
	s := w.requests[args[0]]
	if s == nil {
		return fmt.Errorf("no request with ID %q", args[0])
	}
	select {
	case <-s.done:
	case <-time.After(waitTimeout):
		return fmt.Errorf("request did not end: %s", s)
	}
	if !s.matchesExpected() {
		return fmt.Errorf("response text differs from the expected text: %s", s)
	}
	if err := w.check(args); err != nil {
		return fmt.Errorf("%w: %s", err, s)
	}
	return nil
}

func (w *world) until(args []string) error { return eventually(func() error { return w.check(args) }) }

func (w *world) check(args []string) error {
	for _, cond := range args[1:] {
		name, operator, want := splitCondition(cond)
		got, err := w.value(args[0], name)
		if err != nil {
			return err
		}
		if !meetsCondition(got, operator, want) {
			return fmt.Errorf("%s: %s is %q, not %s%s", args[0], name, got, operator, want)
		}
	}
	for name, f := range w.fakes {
		if e, ok := f.(*fakes.Engine); ok && len(e.Violations()) > 0 {
			return fmt.Errorf("%s: %s", name, strings.Join(e.Violations(), "; "))
		}
	}
	return nil
}

// untilHeld waits until the index of a host records the stated numbers of leading blocks
// of a prompt for targets.
func (w *world) untilHeld(args []string) error {
	e, prompt := w.hosts[args[0]], args[2]
	want, err := parsePrompt(prompt)
	if err != nil || e == nil {
		return fmt.Errorf("host %q: %w", args[0], err)
	}
	return eventually(func() error {
		for name, n := range parseOptions(args[3:]) {
			if got, err := e.host.HeldBlocks(args[1], name, want); err != nil || strconv.Itoa(got) != n {
				return fmt.Errorf("%s holds %d blocks, not %s: %w", name, got, n, err)
			}
		}
		return nil
	})
}

func (w *world) sleep(args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// value returns a property of a request, a fake or a host; the name "engines"
// returns the sum over all engines.
func (w *world) value(name, property string) (string, error) {
	if s, ok := w.requests[name]; ok {
		return s.value(property)
	}
	if c, ok := w.changes[name]; ok {
		return c.value(property)
	}
	if e, ok := w.hosts[name]; ok {
		return e.value(property)
	}
	sum := 0
	for n, f := range w.fakes {
		_, engine := f.(*fakes.Engine)
		if n != name && (name != "engines" || !engine) {
			continue
		}
		v, ok := fakeCounts(f)[property]
		if !ok {
			return "", fmt.Errorf("%s has no property %q", n, property)
		}
		sum += v
	}
	return strconv.Itoa(sum), nil
}

func fakeCounts(f fake) map[string]int {
	switch f := f.(type) {
	case *fakes.Engine:
		c := f.Counts()
		return map[string]int{
			"runs": c.Runs, "finished": c.Finished, "canceled": c.Canceled, "prefilled": c.Prefilled,
			"imports": c.Imports, "exports": c.Exports, "crashes": c.Crashes,
		}
	case *fakes.Store:
		c := f.Counts()
		return map[string]int{"sealed": c.Sealed, "fetched": c.Fetched, "freed": c.Freed}
	case *fakes.Service:
		return map[string]int{"runs": len(f.Runs())}
	case *fakes.Platform:
		r, claims, answered := f.Rates(), 0, 0
		// An error leaves the counts at 0, so that conditions on them fail.
		rows, _ := f.Scan(context.Background(), "claim/", "", 0)
		for _, row := range rows {
			claims++
			if row.Version > 1 { // the response is the second write of a row
				answered++
			}
		}
		return map[string]int{"claims": claims, "answered": answered, "reads": r.Reads, "writes": r.Writes, "peakreads": r.PeakReads, "peakwrites": r.PeakWrites}
	}
	return nil
}

// fault makes a fake or a host fail, or ends a fault.
func (w *world) fault(args []string) error {
	arg := append(slices.Clone(args[2:]), "", "")
	n, _ := strconv.Atoi(arg[0])
	if e, ok := w.hosts[args[0]]; ok {
		return e.fault(args[1], arg[0])
	}
	f, ok := w.fakes[args[0]]
	if !ok {
		return fmt.Errorf("unknown fake or host %q", args[0])
	}
	switch args[1] {
	case "down":
		f.Down()
		return w.setPlatformReachable(f, false)
	case "up":
		if err := f.Up(); err != nil {
			return err
		}
		return w.setPlatformReachable(f, true)
	case "pause":
		f.Pause()
		return nil
	case "continue":
		f.Continue()
		return nil
	case "slow":
		d, err := time.ParseDuration(arg[0])
		f.Slow(d)
		return err
	case "repeat":
		f.RepeatRefusals(arg[0] == "on")
		return nil
	case "lose":
		n, err := strconv.Atoi(arg[1])
		f.LoseReplies(arg[0], n)
		return err
	}
	switch f := f.(type) {
	case *fakes.Engine:
		switch args[1] {
		case "kill":
			f.Kill()
			return nil
		case "restart":
			return f.Restart()
		case "upgrade":
			return f.Upgrade(arg[0])
		case "cut":
			f.BreakStreamsAfter(n)
			return nil
		case "end":
			f.EndStreamsAfter(n)
			return nil
		case "clear":
			f.Clear()
			return nil
		case "cross":
			f.MixStreams(arg[0] == "on")
			return nil
		}
	case *fakes.Store:
		switch args[1] {
		case "kill":
			f.Kill()
			return nil
		case "restart":
			return f.Restart()
		case "corrupt":
			f.Corrupt()
			return nil
		case "capacity":
			f.SetCapacity(int64(n))
			return nil
		}
	case *fakes.Service:
		switch args[1] {
		case "kill":
			f.Kill()
			return nil
		case "restart":
			return f.Restart()
		case "refuse":
			f.Refuse(n)
			return nil
		}
	case *fakes.Platform:
		switch args[1] {
		case "snapshot":
			w.snapshot = f.Snapshot()
			return nil
		case "restore":
			f.Restore(w.snapshot)
			return nil
		}
	}
	return fmt.Errorf("%s has no fault %q", args[0], args[1])
}

// setPlatformReachable cuts or restores the pipes to the platform.
func (w *world) setPlatformReachable(f fake, up bool) error {
	for _, e := range w.hosts {
		switch {
		case f != w.platform:
		case !up:
			e.platform.cut()
		default:
			if err := e.platform.restore(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *entry) fault(action, arg string) error {
	pipes := map[string]*pipe{"callers": e.callers, "peers": e.peers, "platform": e.platform}
	switch p := pipes[arg]; {
	case action == "kill":
		e.kill()
		return nil
	case action == "drain":
		e.stop()
		return nil
	case action == "ended":
		select {
		case err := <-e.runResult:
			return err
		case <-time.After(waitTimeout):
			return fmt.Errorf("host %s has not ended", e.settings.Name)
		}
	case action == "cut" && p != nil:
		p.cut()
		return nil
	case action == "restore" && p != nil:
		return p.restore()
	}
	return fmt.Errorf("a host has no fault %q %q", action, arg)
}

func (w *world) list(args []string) error {
	w.listing.Targets = slices.Clone(w.listing.Targets)
	for i, t := range w.listing.Targets {
		if t.Name != args[0] {
			continue
		}
		switch {
		case args[1] == "gone":
			w.listing.Targets = slices.Delete(w.listing.Targets, i, i+1)
		case args[1] == "served":
			w.listing.Targets[i].Address = w.fakes[args[0]].Address()
		case strings.Contains(args[1], ":"):
			w.listing.Targets[i].Address = args[1]
		default:
			w.listing.Targets[i].State = table.State(args[1])
		}
		w.platform.SetList(w.listing)
		return nil
	}
	return fmt.Errorf("target %q is not listed", args[0])
}
