//go:build !race

package forms_test

import "time"

// maxPageDuration is the target for the load time of a page.
const maxPageDuration = 100 * time.Millisecond
