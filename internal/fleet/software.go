package fleet

import "slices"

// Software returns the software versions of the listed targets by service, sorted.
// Targets that leave count: they may still run streams.
func (f *Fleet) Software() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]string{}
	for service, list := range f.services {
		for _, s := range list {
			if i, ok := slices.BinarySearch(out[service], s.Software); !ok {
				out[service] = slices.Insert(out[service], i, s.Software)
			}
		}
	}
	return out
}
