//go:build race

package forms_test

import "time"

// maxPageDuration is ten times the target for the load time of a page, because the
// race detector slows pages down by about that factor.
const maxPageDuration = time.Second
