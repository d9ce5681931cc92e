// Package weight rolls out models, weight versions and adapters to the engines.
//
// Plan compares the configuration document with the observed state of the targets
// and returns the next orders. Each order contains the whole desired state of its
// target, so repeating it is harmless, and the next plan replaces a lost one. A
// plan follows these rules:
//
//   - At most MaxConcurrentLoads targets load a model at once, and at most the
//     largest MaxConcurrentLoads of the document over all models, because the
//     models share the weight store.
//   - A target that loads counts as not serving; at least half of the targets of
//     each model keep serving its resolved version. A model with one target is
//     the exception, since it could never be updated otherwise. If the rule allows
//     no load at all, half of the targets that serve the version are enough.
//   - A target keeps the old version beside the new one. The new version is
//     resolved as soon as half of the targets serve it, and the old one is dropped
//     when no run uses it and every host has had time to apply the change.
//   - Engines that cannot hold two versions drop the old one when they load. With an
//     odd number of them, the new version is resolved one target below half, since
//     neither version could reach half otherwise.
//   - A target whose load failed gets no load for an exponentially growing delay.
//
// Resolve returns the version for new requests; each host calls it on its own view.
// Plan and Resolve have no I/O and no clock. Rollout drives Plan under a lease.
//
// # Usage
//
//	r := weight.New(lease, observe, weight.WithClock(time.Now))
//	for range ticker.C {
//		err := r.Step(ctx, document.Models, changedAt)
//	}
//	status := r.Status()
package weight
