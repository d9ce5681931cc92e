package rates

import "sesamehill.example/sesamehill/internal/place"

// Host is a host that shares the limit of a target.
type Host struct {
	Name     string
	Distance place.Distance
}

// Rank returns the position of a host among others for a target, from 0: near hosts come
// first, among these those with the higher rendezvous score. The host itself may be one of
// the others.
func Rank(self Host, others []Host, target string) int {
	own, rank := place.RendezvousScore(target, self.Name), 0
	for _, h := range others {
		switch {
		case h.Name == self.Name || h.Distance > self.Distance:
		case h.Distance < self.Distance, place.RendezvousScore(target, h.Name) > own:
			rank++
		}
	}
	return rank
}
