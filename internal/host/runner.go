package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/retry"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/internal/weight"
	"sesamehill.example/sesamehill/pkg/chain"
	"sesamehill.example/sesamehill/pkg/config"
)

var _ entry.Runner = (*Host)(nil)

// request is a prompt that a host serves under one revision of the configuration
// document.
type request struct {
	active    *activeDocument
	account   *config.Account
	namespace chain.Namespace
	tokens    []uint32
	keys      []chain.Key
	max       int
	priority  int
	deadline  time.Time
	// arrived is zero for a request that another host forwarded.
	arrived time.Time
	// returning is true if this host has served the prompt before.
	returning bool
	// startBy is the deadline for the start of the request.
	startBy  time.Time
	attempts retry.Input
	// fingerprint identifies the prompt in the quarantine of crashing requests.
	fingerprint crash.Fingerprint
	// parts identify the leading blocks of the prompt as possible causes of a crash.
	parts []crash.Fingerprint
	// isolated forbids targets that run another suspect request.
	isolated bool
	// noIsolatedEngine is true if each engine that could run the isolated request
	// runs another suspect.
	noIsolatedEngine bool
	// localOnly forbids forwarding, because another host forwarded the request or
	// another region refused it.
	localOnly bool
	// software is the version of the software of the engine that emitted the tokens so
	// far; empty if there are none or it stated none.
	software string
	excluded []string
	random   *rand.Rand
}

// versionUse returns the weight version of a request as weight.VersionName names it.
func (q *request) versionUse() string {
	return weight.VersionName(q.namespace.Model, q.namespace.Version)
}

// Authenticate returns the account of an API key.
func (h *Host) Authenticate(key string) (entry.Account, error) {
	f := h.document.Load()
	if f.revision == 0 {
		return entry.Account{}, notReady()
	}
	a := f.accountsByKey[config.HashKey(key)]
	if a == nil {
		return entry.Account{}, &entry.RefusalError{
			Status: http.StatusUnauthorized, Kind: entry.KindAuthentication, Run: entry.RanNo,
			Message: "the API key is not known; check the key or ask an operator for a new one",
		}
	}
	return entry.Account{Name: a.Name, Priority: a.Priority}, nil
}

// Limits returns the limits of the active configuration document.
func (h *Host) Limits() config.Limits { return h.document.Load().document.Limits }

// Models returns the names of the models that the account may use.
func (h *Host) Models(account string) []string {
	a := h.document.Load().accounts[account]
	if a == nil {
		return nil
	}
	names := slices.Clone(a.Models)
	slices.Sort(names)
	return names
}

// Complete admits a prompt and starts its run.
func (h *Host) Complete(ctx context.Context, p entry.Prompt) (entry.Run, error) {
	q, err := h.newRequest(p)
	if err != nil {
		return nil, errors.Trace(err)
	}
	q.chain()
	q.arrived = p.Arrived
	q.returning = h.cache.recordArrival(p.Account, q.keys, time.Now())
	return h.admitAndStart(ctx, q, nil)
}

// Resume resumes a run of the account at the engine that the run ID names.
func (h *Host) Resume(ctx context.Context, account, id string, offset int) (entry.Run, error) {
	attempt, name, ok := splitRunID(id)
	if !ok {
		return nil, entry.Invalid("Last-Event-ID", "run ID %q was not issued by this system; send the last ID received", id)
	}
	e := h.fleet.engine(name)
	if e == nil {
		return nil, runNotHeld(id)
	}
	s, err := e.Resume(ctx, account, attempt, offset)
	if err != nil {
		return nil, resumeRefusal(id, err)
	}
	return newResumed(ctx, h, account, s, name, attempt, offset), nil
}

func (h *Host) newRequest(p entry.Prompt) (*request, error) {
	f := h.document.Load()
	if f.revision == 0 {
		return nil, notReady()
	}
	m := f.model(p.Account, p.Model)
	if m == nil {
		return nil, entry.NotFound("model", "model %q is not available to this account; see GET /v1/models", p.Model)
	}
	if p.Adapter != "" && !slices.Contains(m.Adapters, p.Adapter) {
		return nil, entry.NotFound("model", "model %q has no adapter %q; see the deployment's operators", p.Model, p.Adapter)
	}
	startBy := p.Arrived.Add(f.document.Limits.MaxWait.AsDuration())
	if !p.Deadline.IsZero() && p.Deadline.Before(startBy) {
		startBy = p.Deadline
	}
	scope := chain.Namespace{Account: p.Account, Model: m.Name, Adapter: p.Adapter, Version: h.version(m)}
	return &request{
		active:      f,
		account:     f.accounts[p.Account],
		namespace:   scope,
		tokens:      p.Tokens,
		max:         p.Max,
		fingerprint: crash.NewFingerprint(p.Account, m.Name, p.Tokens),
		parts:       hashBlocks(p.Account, m.Name, p.Tokens, f.document.Deployment.BlockTokens),
		priority:    p.Priority,
		deadline:    p.Deadline,
		startBy:     startBy,
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, nil
}

// hashBlocks returns a hash for each of the leading whole blocks of a prompt that other
// prompts of the account may hold too. The last block belongs to the request alone.
func hashBlocks(account, model string, tokens []uint32, blockTokens int) []crash.Fingerprint {
	var hashes []crash.Fingerprint
	for len(tokens) > blockTokens && len(hashes) < crash.MaxParts {
		block := crash.NewFingerprint(account, model, tokens[:blockTokens])
		hashes = append(hashes, crash.NewPartFingerprint(model, string(block[:])))
		tokens = tokens[blockTokens:]
	}
	return hashes
}

// chain sets the keys of the prompt's blocks.
func (q *request) chain() {
	q.keys = chain.Keys(q.namespace, q.tokens, q.active.document.Deployment.BlockTokens)
}

func notReady() *entry.RefusalError {
	return &entry.RefusalError{
		Status: http.StatusServiceUnavailable, Kind: entry.KindOverloaded, Run: entry.RanNo, Retry: notReadyRetry,
		Message: "the host has no active configuration document yet; retry at another host",
	}
}

// notReadyRetry covers two polls of the configuration document at the platform.
const notReadyRetry = 4 * time.Second

func runNotHeld(id string) *entry.RefusalError {
	return &entry.RefusalError{
		Status: http.StatusNotFound, Kind: entry.KindNotFound, Run: entry.RanUnknown,
		Message: "run " + id + " is no longer held by its engine; send the prompt again",
	}
}

func resumeRefusal(id string, err error) error {
	var missing *target.MissingError
	if errors.As(err, &missing) {
		return runNotHeld(id)
	}
	return &entry.RefusalError{
		Status: http.StatusServiceUnavailable, Kind: entry.KindBroken, Run: entry.RanUnknown, Retry: time.Second,
		Message: "the engine of run " + id + " does not answer; resume again, or send the prompt again",
	}
}
