package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// DefaultDrainDelay is how long a leaving host still accepts calls if the
	// settings file does not set it. Load balancers check readiness about once a
	// second and remove a host after two failures.
	DefaultDrainDelay = Duration(3 * time.Second)
	// DefaultDrainTimeout is how long a leaving host waits for answers in flight if
	// the settings file does not set it.
	DefaultDrainTimeout = Duration(time.Minute)
	// DefaultLogLevel is the log level if the settings file does not set it.
	DefaultLogLevel = "info"

	maxDrainDelay   = Duration(5 * time.Minute)
	minDrainTimeout = Duration(time.Second)
	maxDrainTimeout = Duration(time.Hour)
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Settings is the settings file of one host.
type Settings struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
	Zone   string `toml:"zone" json:"zone"`
	// Listen, Admin and Peer are the addresses, as IP:port, on which the host
	// serves callers, operators and other hosts. Other hosts dial the Peer address
	// as written here.
	Listen string `toml:"listen" json:"listen"`
	Admin  string `toml:"admin" json:"admin"`
	Peer   string `toml:"peer" json:"peer"`
	// Platform is the URL of the platform's services.
	Platform string `toml:"platform" json:"platform"`
	// Seeds are peer addresses of other hosts, which the host uses until it has
	// received the list of members.
	Seeds []string `toml:"seeds" json:"seeds"`
	// DrainDelay is how long a leaving host still accepts calls, until the load
	// balancer has noticed that the host is no longer ready.
	DrainDelay Duration `toml:"lag" json:"lag"`
	// DrainTimeout is how long a leaving host then waits for answers in flight.
	DrainTimeout Duration `toml:"limit" json:"limit"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `toml:"level" json:"level"`
	// Operators are the hashes of the operators' keys, as HashKey returns them. If
	// the list is empty, the operators' API rejects every call.
	Operators []string `toml:"operators" json:"-"`
}

// LoadSettings reads and checks a settings file. The error is a *FaultsError
// that lists every fault.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &FaultsError{File: path, Faults: []Fault{{
			Problem: "the file cannot be read: " + err.Error(), Remedy: "give the path of a readable settings file",
		}}}
	}
	return ParseSettings(path, data)
}

// ParseSettings decodes and checks settings in TOML. The error is a *FaultsError
// that lists every fault; file is used only to name the source in it.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := Settings{DrainDelay: DefaultDrainDelay}
	faults := decodeTOML(data, &s)
	for i := range faults {
		if faults[i].Key == "operators" {
			// The value may be a key in plain text, which must not appear in a log.
			faults[i].Problem = "is not a list"
			faults[i].Remedy = "give a list of key hashes"
		}
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = DefaultDrainTimeout
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if syntaxError := len(faults) == 1 && faults[0].Line > 0; !syntaxError {
		faults = append(faults, dropImpliedFaults(s.Check(), faults)...)
	}
	if len(faults) > 0 {
		setLines(data, faults)
		return Settings{}, &FaultsError{File: file, Faults: faults}
	}
	return s, nil
}

// Check returns all faults of the settings.
func (s Settings) Check() []Fault {
	var c checker
	c.checkName("name", s.Name)
	c.checkName("region", s.Region)
	c.checkName("zone", s.Zone)
	c.checkAddresses(s)
	c.checkPlatformURL(s.Platform)
	for i, a := range s.Seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		c.checkDialAddress(key, a)
		if slices.Contains(s.Seeds[:i], a) {
			c.addFault(key, fmt.Sprintf("%q is listed twice", a), "remove one")
		}
	}
	c.checkDuration("lag", s.DrainDelay, 0, maxDrainDelay)
	c.checkDuration("limit", s.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.addFault("level", fmt.Sprintf("is %q", s.LogLevel), "give one of: "+strings.Join(logLevels, ", "))
	}
	for i, k := range s.Operators {
		if !IsKeyHash(k) || strings.ToLower(k) != k {
			c.addFault(fmt.Sprintf("operators[%d]", i), "is not the hash of a key",
				`give "blake3:" and 64 lower-case hexadecimal digits, as "sesamectl keys" prints them; never the key itself`)
		}
	}
	return c.faults
}

func (c *checker) checkAddresses(s Settings) {
	c.checkAddress("listen", s.Listen)
	c.checkAddress("admin", s.Admin)
	c.checkDialAddress("peer", s.Peer)
	if s.Listen != "" && s.Listen == s.Admin {
		c.addFault("admin", fmt.Sprintf("%q is also the listen address", s.Admin), "give each its own port")
	}
	if s.Peer != "" && (s.Peer == s.Listen || s.Peer == s.Admin) {
		c.addFault("peer", fmt.Sprintf("%q is also the listen or admin address", s.Peer), "give each its own port")
	}
}

// checkAddress checks an IP:port to listen on.
func (c *checker) checkAddress(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.addFault(key, "is missing", `give an address such as "10.0.0.5:8080"`)
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.addFault(key, fmt.Sprintf("%q is not an IP address with a port", value), `give an address such as "10.0.0.5:8080"`)
		return netip.AddrPort{}, false
	}
	return a, true
}

// checkDialAddress checks an IP:port that other hosts dial.
func (c *checker) checkDialAddress(key, value string) {
	if a, ok := c.checkAddress(key, value); ok && a.Addr().IsUnspecified() {
		c.addFault(key, fmt.Sprintf("%q cannot be dialled by other hosts", value), "give the host's own IP address")
	}
}

func (c *checker) checkPlatformURL(value string) {
	if value == "" {
		c.addFault("platform", "is missing", `give a URL such as "http://10.0.0.9:9000"`)
		return
	}
	u, err := url.Parse(value)
	valid := err == nil && u.Scheme == "http" && u.User == nil && strings.Trim(u.Path, "/") == "" && u.RawQuery == ""
	if valid {
		a, err := netip.ParseAddrPort(u.Host)
		valid = err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
	}
	if !valid {
		c.addFault("platform", fmt.Sprintf("%q is not the URL of an IP address with a port", value),
			`give a URL such as "http://10.0.0.9:9000"`)
	}
}
