package front

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/retry"
)

// Settings are the settings of one host.
type Settings struct {
	Name   string `toml:"name"`
	IP     string `toml:"ip"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Platform is the address of the platform's store.
	Platform string `toml:"platform"`
	// Front, Ready, Peer and Admin are the addresses to listen on.
	Front string `toml:"front"`
	Ready string `toml:"ready"`
	Peer  string `toml:"peer"`
	Admin string `toml:"admin"`
	Level string `toml:"level"`
	// Memory is the limit in megabytes.
	Memory int64 `toml:"memory"`
	// Link is the width of the host's link in megabits a second and Share its share
	// of a core. The widest hosts of many do more for the others; zero stands for
	// unknown.
	Link  float64 `toml:"link,omitempty"`
	Share float64 `toml:"share,omitempty"`
	// Grace is the time from SIGTERM to SIGKILL in seconds.
	Grace float64 `toml:"grace"`
	// Drain is how long a leaving target takes requests, in milliseconds.
	Drain float64 `toml:"drain"`
	// Lease is the time in which holders may not take turns, in milliseconds.
	Lease float64 `toml:"lease"`
	// Weights is how long after new weights were named requests may begin on older
	// ones, in milliseconds.
	Weights float64 `toml:"weights"`
	// Ratio, Slack and Window (seconds) bound the repeats of all hosts.
	Ratio  float64 `toml:"ratio"`
	Slack  float64 `toml:"slack"`
	Window float64 `toml:"window"`
	// Placement is the rule that places requests with a prompt; empty stands for the
	// product's own, the others are baselines.
	Placement string `toml:"placement,omitempty"`
	// Zones maps each availability zone to its region.
	Zones map[string]string `toml:"zones"`
}

// SettingsError says what is wrong with the settings.
type SettingsError struct {
	Field   string
	Problem string
}

// Error names the field and the remedy.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings: %s %s; correct the template and start again", e.Field, e.Problem)
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "read the settings; name an existing file")
	}
	return ParseSettings(b)
}

// ParseSettings decodes and checks settings. Unknown fields are errors.
func ParseSettings(b []byte) (Settings, error) {
	var s Settings
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, &SettingsError{Field: "file", Problem: explain(err)}
	}
	return s, s.Check()
}

// explain shows where in the file decoding failed.
func explain(err error) string {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return "cannot be decoded:\n" + decode.String()
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return "has unknown fields:\n" + strict.String()
	}
	return err.Error()
}

// Check returns a *SettingsError if a field is missing or out of range.
func (s Settings) Check() error {
	addresses := map[string]string{
		"platform": s.Platform, "front": s.Front, "ready": s.Ready, "admin": s.Admin,
	}
	for field, a := range addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return &SettingsError{Field: field, Problem: fmt.Sprintf("%q is not HOST:PORT", a)}
		}
	}
	switch {
	case s.Name == "":
		return &SettingsError{Field: "name", Problem: "is empty"}
	case s.Zone == "" || s.Zones[s.Zone] == "":
		return &SettingsError{Field: "zone", Problem: fmt.Sprintf("%q is not one of zones", s.Zone)}
	case s.Ratio < 0 || s.Slack < 0 || s.Window <= 0:
		return &SettingsError{Field: "ratio, slack or window", Problem: "is negative or zero"}
	case s.Grace <= 0:
		return &SettingsError{Field: "grace", Problem: "is not positive"}
	case s.Lease < 0 || s.Drain < 0 || s.Memory < 0:
		return &SettingsError{Field: "lease, drain or memory", Problem: "is negative"}
	case s.Link < 0 || s.Share < 0:
		return &SettingsError{Field: "link or share", Problem: "is negative"}
	}
	if _, err := place.ParsePolicy(s.Placement); err != nil {
		return &SettingsError{Field: "placement", Problem: "is not usable: " + err.Error()}
	}
	if _, err := zap.ParseAtomicLevel(s.Level); err != nil {
		return &SettingsError{Field: "level", Problem: fmt.Sprintf("%q is no log level", s.Level)}
	}
	return nil
}

// width tells how much a host can do for others.
func (s Settings) width() float64 { return s.Link * s.Share }

// heldShare is the divisor of the host's memory for what it holds of bytes from
// outside that have not been passed on, defaultHeld the bytes where no memory is
// set.
const (
	heldShare   = 8
	defaultHeld = 32 << 20
)

// Pool returns the pool for what the host holds of bytes from outside.
func (s Settings) Pool() *bound.Pool {
	if s.Memory == 0 {
		return bound.NewPool(defaultHeld)
	}
	return bound.NewPool(s.Memory << 20 / heldShare)
}

// policy returns the rule of placement; Check has accepted its name.
func (s Settings) policy() place.Policy {
	p, err := place.ParsePolicy(s.Placement)
	if err != nil {
		return place.Cost
	}
	return p
}

func (s Settings) allowance() retry.Allowance {
	return retry.Allowance{
		Ratio: s.Ratio, Fixed: s.Slack, Window: time.Duration(s.Window * float64(time.Second)),
	}
}

// flight is how long a new holder of the lease waits before its first order, so
// that orders of two holders are further apart than the platform demands.
func (s Settings) flight() time.Duration {
	return time.Duration(s.Lease*float64(time.Millisecond)) - leaseMargin + leaseMargin/2
}

// staleMargin is the time that a request may take to reach its engine and begin. A
// request that was sent 2.2 s before the bound has begun after it, behind others
// that waited at its engine.
const staleMargin = 3 * time.Second

func (s Settings) staleLimit() time.Duration {
	return max(time.Duration(s.Weights*float64(time.Millisecond))-staleMargin, 0)
}

// distance returns how far a zone is from the host.
func (s Settings) distance(zone string) place.Distance {
	switch {
	case zone == s.Zone:
		return place.SameZone
	case s.Zones[zone] == s.Region:
		return place.SameRegion
	}
	return place.OtherRegion
}
