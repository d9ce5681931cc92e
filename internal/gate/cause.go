package gate

// Cause is why a shared part of a prompt is read instead of fetched.
type Cause string

// Causes.
const (
	// First parts were in no earlier prompt at this host.
	First Cause = "first"
	// Unsaved parts are in no store and no save of them is under way: stores were
	// full, closed after a restart, or the save was lost.
	Unsaved Cause = "unsaved"
	// Untold parts are being saved, or no event has told of them yet.
	Untold Cause = "untold"
	// Blind means that a store was not heard lately.
	Blind Cause = "blind"
	// Slower means that reading is expected to take less than the fetch, Distant the
	// same for a store of another region.
	Slower  Cause = "slower"
	Distant Cause = "distant"
	// Replaced means that the state belongs to weights that have been replaced.
	Replaced Cause = "replaced"
)

// Again counts the tokens of shared parts that are read, by cause.
type Again map[Cause]int

// Add returns the counts with some tokens more.
func (a Again) Add(c Cause, tokens int) Again {
	if a == nil {
		a = Again{}
	}
	a[c] += tokens
	return a
}
