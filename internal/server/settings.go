package server

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
	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/roll"
	"sesamehill.example/sesamehill/internal/zones"
)

// Settings are the settings of one host.
type Settings struct {
	Name   string `toml:"name"`
	IP     string `toml:"ip"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// Platform is the address of the platform's table store.
	Platform string `toml:"platform"`
	// Front, Ready, Peer and Admin are the addresses on which the host listens for
	// callers, readiness checks, other hosts and operators.
	Front string `toml:"front"`
	Ready string `toml:"ready"`
	Peer  string `toml:"peer"`
	Admin string `toml:"admin"`
	// Level is the log level.
	Level string `toml:"level"`
	// Memory is the memory limit in megabytes; zero means that none is set.
	Memory int64 `toml:"memory"`
	// Descriptors is the limit of open files of the process; zero stands for the limit of
	// the operating system.
	Descriptors int `toml:"descriptors,omitempty"`
	// Link is the rate of the host's network link in megabits per second and Share its
	// share of a CPU core; zero stands for unknown. Where hosts are many, those with
	// the highest product become hubs for the others.
	Link  float64 `toml:"link,omitempty"`
	Share float64 `toml:"share,omitempty"`
	// Grace is the time from SIGTERM to SIGKILL in seconds.
	Grace float64 `toml:"grace"`
	// Drain is how long a leaving target accepts requests, in milliseconds.
	Drain float64 `toml:"drain"`
	// Lease is the minimum time between orders of two lease holders, in milliseconds.
	Lease float64 `toml:"lease"`
	// Weights is how long after an announcement of new weights requests may start on
	// older ones, in milliseconds.
	Weights float64 `toml:"weights"`
	// Ratio, Slack and Window limit the retries of all hosts: in a window of Window
	// seconds, retries may be Ratio of the requests plus Slack.
	Ratio  float64 `toml:"ratio"`
	Slack  float64 `toml:"slack"`
	Window float64 `toml:"window"`
	// Placement is the policy that places requests with a prompt. Empty stands for the
	// project's own policy; the others are baselines.
	Placement string `toml:"placement,omitempty"`
	// Away holds the prices by which the host decides when a request leaves the zone; nil
	// switches the decision off.
	Away *zones.Prices `toml:"away,omitempty"`
	// Zones maps each availability zone to its region.
	Zones map[string]string `toml:"zones"`
}

// SettingsError is returned for settings that cannot be used.
type SettingsError struct {
	Field   string
	Problem string
}

// Error names the field and the remedy.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings: %s %s; correct the settings template and restart", e.Field, e.Problem)
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "read the settings file; pass the path of an existing file")
	}
	return ParseSettings(b)
}

// ParseSettings decodes and checks settings. Unknown fields are errors.
func ParseSettings(b []byte) (Settings, error) {
	var s Settings
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, &SettingsError{Field: "file", Problem: decodeProblem(err)}
	}
	return s, s.Check()
}

// decodeProblem describes a decoding failure and its position in the file.
func decodeProblem(err error) string {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return "cannot be decoded:\n" + decodeErr.String()
	}
	var unknownErr *toml.StrictMissingError
	if errors.As(err, &unknownErr) {
		return "has unknown fields:\n" + unknownErr.String()
	}
	return err.Error()
}

// Check returns a *SettingsError if a field is missing or out of range.
func (s Settings) Check() error {
	addresses := map[string]string{
		"platform": s.Platform, "front": s.Front, "ready": s.Ready, "admin": s.Admin,
	}
	for field, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &SettingsError{Field: field, Problem: fmt.Sprintf("%q is not HOST:PORT", address)}
		}
	}
	switch {
	case s.Name == "":
		return &SettingsError{Field: "name", Problem: "is empty"}
	case s.Zone == "" || s.Zones[s.Zone] == "":
		return &SettingsError{Field: "zone", Problem: fmt.Sprintf("%q is not listed under zones", s.Zone)}
	case s.Ratio < 0 || s.Slack < 0 || s.Window <= 0:
		return &SettingsError{Field: "ratio, slack or window", Problem: "is negative or zero"}
	case s.Grace <= 0:
		return &SettingsError{Field: "grace", Problem: "is not positive"}
	case s.Lease < 0 || s.Drain < 0 || s.Memory < 0 || s.Descriptors < 0:
		return &SettingsError{Field: "lease, drain, memory or descriptors", Problem: "is negative"}
	case s.Link < 0 || s.Share < 0:
		return &SettingsError{Field: "link or share", Problem: "is negative"}
	}
	if _, err := place.ParsePolicy(s.Placement); err != nil {
		return &SettingsError{Field: "placement", Problem: "is invalid: " + err.Error()}
	}
	if s.Away != nil {
		if err := s.Away.Check(); err != nil {
			return &SettingsError{Field: "away", Problem: "is invalid: " + err.Error()}
		}
	}
	if _, err := zap.ParseAtomicLevel(s.Level); err != nil {
		return &SettingsError{Field: "level", Problem: fmt.Sprintf("%q is not a log level", s.Level)}
	}
	return nil
}

// relayCapacity returns the measure by which hosts are chosen as hubs.
func (s Settings) relayCapacity() float64 { return s.Link * s.Share }

const (
	// bufferMemoryDivisor is the divisor of the memory limit that gives the size of
	// the pool for received data that has not been passed on.
	bufferMemoryDivisor = 8
	// defaultBufferBytes is the size of the pool if no memory limit is set.
	defaultBufferBytes = 32 << 20
)

// Pool returns the memory pool for received data that the host buffers until it has
// passed it on.
func (s Settings) Pool() *bound.Pool {
	if s.Memory == 0 {
		return bound.NewPool(defaultBufferBytes)
	}
	return bound.NewPool(s.Memory << 20 / bufferMemoryDivisor)
}

// placementPolicy returns the placement policy; Check has accepted its name.
func (s Settings) placementPolicy() place.Policy {
	p, err := place.ParsePolicy(s.Placement)
	if err != nil {
		return place.Cost
	}
	return p
}

func (s Settings) retryAllowance() retry.Allowance {
	return retry.Allowance{
		Ratio: s.Ratio, Fixed: s.Slack, Window: time.Duration(s.Window * float64(time.Second)),
	}
}

// takeoverDelay returns how long a new lease holder waits before its first order, so
// that the time between orders of two holders exceeds the minimum that the platform
// demands. The last order of the former holder may still be on its way for the time of
// a call.
func (s Settings) takeoverDelay() time.Duration {
	return time.Duration(s.Lease*float64(time.Millisecond)) - leaseMargin + roll.CallTimeout
}

// requestStartMargin is the longest time that a request may take to reach its engine
// and start there. A request sent 2.2 s before the limit started after it, as it
// waited behind others at its engine.
const requestStartMargin = 3 * time.Second

// withdrawalMargin is the time before the limit on older weights at which requests that an
// engine may not have begun are withdrawn. It covers the error of the estimate of the
// store's clock (0.2 s), the way to the engine and a busy host.
const withdrawalMargin = 700 * time.Millisecond

// weightsBound returns the platform's bound on the begin of requests on replaced weights.
func (s Settings) weightsBound() time.Duration {
	return time.Duration(s.Weights * float64(time.Millisecond))
}

// staleLimits returns what engines with older weights may get after an announcement.
func (s Settings) staleLimits() proxy.StaleLimits {
	return proxy.StaleLimits{Send: s.staleWeightsLimit(), Withdraw: max(s.weightsBound()-withdrawalMargin, 0)}
}

// staleWeightsLimit returns how long after an announcement of new weights requests may
// be sent to engines with older ones.
func (s Settings) staleWeightsLimit() time.Duration {
	return max(s.weightsBound()-requestStartMargin, 0)
}

// regionOf returns the region of a zone; empty for an unknown zone.
func (s Settings) regionOf(zone string) string { return s.Zones[zone] }

// distance returns the distance class of a zone as seen from the host.
func (s Settings) distance(zone string) place.Distance {
	return distanceClass(s.Zone, s.Region, zone, s.Zones[zone])
}

// distanceBetween returns the distance class of two zones.
func (s Settings) distanceBetween(from, to string) place.Distance {
	return distanceClass(from, s.Zones[from], to, s.Zones[to])
}

// distanceClass returns the distance class of two zones in regions.
func distanceClass(from, fromRegion, to, toRegion string) place.Distance {
	switch {
	case from == to:
		return place.SameZone
	case fromRegion == toRegion:
		return place.SameRegion
	}
	return place.OtherRegion
}
