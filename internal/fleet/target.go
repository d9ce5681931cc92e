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
	// Born is the Unix millisecond of the target's start.
	Born int64 `json:"born"`
	// Cold is how much longer the target stays slow after its start.
	Cold time.Duration `json:"cold"`
	// Versions are the weight versions by model.
	Versions map[string]int `json:"versions"`
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Served means that the target answered.
	Served Outcome = iota
	// Refused means that the target said that it did not run the request.
	Refused
	// Failed means that the target broke off, stayed silent or sent bytes that
	// are no answer.
	Failed
	// Unreachable means that no connection came about.
	Unreachable
	// Left means that the caller went away.
	Left
)

// Load is a target's own report: requests running and waiting, and its places.
type Load struct {
	Running, Waiting, Slots int
}

// Status is a target with what the host knows about it.
type Status struct {
	// Target is shared and must not be changed.
	*Target
	// Flight is this host's, Others that of the other hosts.
	Flight Flight `json:"flight"`
	Others Flight `json:"others"`
	// Heard is the boot time of the last byte from the target.
	Heard time.Duration `json:"heard"`
	// Waiting is the number of requests that waited at the last report.
	Waiting int `json:"waiting"`
	// Risk is the share of attempts that failed lately.
	Risk float64 `json:"risk"`
	// Down targets refused a connection a moment ago.
	Down bool `json:"down"`
}

// Change is a change of belief about one target.
type Change struct {
	Target Target
	What   string
}
