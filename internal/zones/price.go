package zones

import "fmt"

const (
	bytesPerGB  = 1e9
	msPerSecond = 1e3
)

// Prices says what traffic between zones costs, and what a caller's wait costs. All
// are amounts in one unit of money.
type Prices struct {
	// Zone and Region are the prices of a gigabyte between zones of a region and between
	// regions.
	Zone   float64 `toml:"zone" json:"zone"`
	Region float64 `toml:"region" json:"region"`
	// Second is the price of a second that a caller waits.
	Second float64 `toml:"second" json:"second"`
}

// PriceError is returned for prices that cannot be used.
type PriceError struct {
	Field   string
	Problem string
}

// Error names the price and what is wrong with it.
func (e *PriceError) Error() string { return fmt.Sprintf("price %q %s", e.Field, e.Problem) }

// Check returns a *PriceError if a price is out of range.
func (p Prices) Check() error {
	switch {
	case !(p.Zone >= 0):
		return &PriceError{Field: "zone", Problem: "is negative"}
	case !(p.Region >= p.Zone):
		return &PriceError{Field: "region", Problem: "is below that between zones"}
	case !(p.Second > 0):
		return &PriceError{Field: "second", Problem: "is not positive"}
	}
	return nil
}

// ZoneMs returns the price of a byte between zones of a region in milliseconds of a caller's
// wait.
func (p Prices) ZoneMs() float64 { return p.Zone / bytesPerGB / p.Second * msPerSecond }

// RegionMs returns the price of a byte between regions in milliseconds of a caller's wait.
func (p Prices) RegionMs() float64 { return p.Region / bytesPerGB / p.Second * msPerSecond }
