package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/trial"
)

// replayOptions are the flags of a load that is played from a pattern.
type replayOptions struct {
	pattern  string
	policies string
	program  string
	keep     string
	plot     string
}

// replay plays a pattern once for each policy, and prints what callers got.
func (c *loadCommand) replay(ctx context.Context) error {
	p, err := trial.Load(c.pattern)
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
		return &usageError{"no policy; give -policies NAMES"}
	}
	reports, err := c.replayAll(ctx, p, policies)
	if err != nil {
		return err
	}
	if c.plot != "" {
		if err := trial.Plot(c.plot, reports); err != nil {
			return err
		}
	}
	if c.json {
		return printJSON(reports)
	}
	return trial.Print(os.Stdout, reports)
}

func (c *loadCommand) replayAll(ctx context.Context, p trial.Pattern, policies []place.Policy) ([]*trial.Report, error) {
	progress := newProgress()
	defer progress.end()
	var reports []*trial.Report
	for i, policy := range policies {
		progress.show("%s, %d of %d: %s", p.Name, i+1, len(policies), policy)
		opts := []trial.Option{trial.WithProgram(c.findProgram()), trial.WithPolicy(policy), trial.WithSeed(c.Seed)}
		if c.keep != "" {
			directory := filepath.Join(c.keep, string(policy))
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

// findProgram returns the path of sesamed: the one given, or that beside this
// program, or that in PATH.
func (c *loadCommand) findProgram() string {
	const name = "sesamed"
	if c.program != "" {
		return c.program
	}
	if own, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(own), name)
		if _, err := os.Stat(beside); err == nil {
			return beside
		}
	}
	if path, err := exec.LookPath(name); err == nil {
		return path
	}
	return name
}
