package fleet

import "time"

// Target is an entry of the platform's list.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
	// Software is the version of the target's software; empty if its entry states none.
	Software string `json:"software"`
	// StartedAtMs is the start of the target in Unix milliseconds.
	StartedAtMs int64 `json:"born"`
	// Unlisted is set if the entry is of an earlier start. Software then stands for the
	// unknown version of this one, and differs from those of all others.
	Unlisted bool `json:"unlisted,omitempty"`
	// WarmupLeft is how much longer the target stays slow after its start.
	WarmupLeft time.Duration `json:"warmup"`
	// Versions are the weight versions by model.
	Versions map[string]int `json:"versions"`
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Served means that the target answered.
	Served Outcome = iota
	// Refused means that the target reported that it did not run the request.
	Refused
	// Failed means that the target broke off the response, sent nothing or sent
	// bytes that are not a valid response.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// ClientDisconnected means that the caller closed its connection.
	ClientDisconnected
)

// Load is a target's own report: requests running and waiting, and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the target at the moment of the report, in
	// multiples of the usual time; zero if the target does not say.
	Slowdown float64
}

// Status is a target with the host's view of its state.
type Status struct {
	// Target is shared and must not be changed.
	*Target
	// InFlight is the in-flight load of this host, OthersInFlight that of the
	// other hosts.
	InFlight       InFlight `json:"flight"`
	OthersInFlight InFlight `json:"others"`
	// LastDataAt is the boot time of the last byte received from the target.
	LastDataAt time.Duration `json:"heard"`
	// Waiting is the number of waiting requests in the last load report.
	Waiting int `json:"waiting"`
	// FailureRate is the decaying average of failed attempts, from 0 to 1.
	FailureRate float64 `json:"risk"`
	// Down is set while a target is excluded because it did not accept a
	// connection, or another host reported so.
	Down bool `json:"down"`
	// Tunneled is set while a target that this host cannot connect to itself is used
	// through another host. Down is not set then.
	Tunneled bool `json:"tunneled"`
	// RateLimit is the number of requests a second that the target takes from all hosts
	// together; Unlimited if it names none. The log names its changes.
	RateLimit float64 `json:"-"`
	// Cold is set while the target is cold and RateLimit bounds what it takes then.
	Cold bool `json:"cold"`
	// RefusalLimit is the number of requests that the target can refuse in a second without
	// crashing; Unlimited if it names no such limit.
	RefusalLimit float64 `json:"-"`
	// AcceptedCalls is the number of calls that a target with a refusal limit takes at once, as
	// its refusals show; zero if that is unknown.
	AcceptedCalls int `json:"accepted"`
	// PausedFor is the time for which the target gets no requests of this host.
	PausedFor time.Duration `json:"paused"`
}

// Change is a change of the host's view of one target.
type Change struct {
	Target Target
	// Event is a short text for the log, such as "restarted".
	Event string
}
