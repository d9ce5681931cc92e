package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/trial"
)

// replayOptions are the flags of a load that is replayed from a pattern file.
type replayOptions struct {
	patternFile   string
	policies      string
	sesamedPath   string
	hostDirectory string
	plotFile      string
}

// replay replays a load pattern once for each placement policy and prints the
// results of the callers.
func (c *loadCommand) replay(ctx context.Context) error {
	p, err := trial.Load(c.patternFile)
	if err != nil {
		return &usageError{err.Error()}
	}
	var policies []place.Policy
	for _, name := range splitList(c.policies) {
		policy, err := place.ParsePolicy(name)
		if err != nil {
			return &usageError{err.Error()}
		}
		policies = append(policies, policy)
	}
	if len(policies) == 0 {
		return &usageError{"no policy is given; give -policies NAMES"}
	}
	reports, err := c.replayAll(ctx, p, policies)
	if err != nil {
		return err
	}
	if c.plotFile != "" {
		if err := trial.Plot(c.plotFile, reports); err != nil {
			return err
		}
	}
	if c.json {
		return printJSON(reports)
	}
	return trial.Print(os.Stdout, reports)
}

// replayAll returns one report for each policy.
func (c *loadCommand) replayAll(ctx context.Context, p trial.Pattern, policies []place.Policy) ([]*trial.Report, error) {
	progress := newProgress()
	defer progress.end()
	var reports []*trial.Report
	for i, policy := range policies {
		progress.show("%s, %d of %d: %s", p.Name, i+1, len(policies), policy)
		opts := []trial.Option{trial.WithProgram(c.findSesamed()), trial.WithPolicy(policy), trial.WithSeed(c.Seed)}
		if c.hostDirectory != "" {
			directory := filepath.Join(c.hostDirectory, string(policy))
			if err := os.MkdirAll(directory, 0o700); err != nil {
				return nil, err
			}
			opts = append(opts, trial.WithDirectory(directory))
		}
		r, err := trial.Run(ctx, p, opts...)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// findSesamed returns the path of the sesamed binary: the given one, else the one in
// the directory of this program, else the one in PATH.
func (c *loadCommand) findSesamed() string {
	const name = "sesamed"
	if c.sesamedPath != "" {
		return c.sesamedPath
	}
	if executable, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(executable), name)
		if _, err := os.Stat(sibling); err == nil {
			return sibling
		}
	}
	if path, err := exec.LookPath(name); err == nil {
		return path
	}
	return name
}
