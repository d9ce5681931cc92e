// Command sesametrace simulates a deployment that serves a trace of returning
// prompts, once for each placement policy, and prints the results.
//
// # Usage
//
//	sesametrace [-deployment enxame-vivo|borough] [-scenario NAME] [-seed N] [-annotations] [-json]
//
// With -annotations it compares annotations of requests forwarded between regions
// instead of policies. Without -deployment or -scenario it runs all of them. The exit
// code is 0 on success, 1 after a failure and 2 after wrong usage.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"sesamehill.example/sesamehill/internal/trace"
)

const (
	exitFailure    = 1
	exitUsageError = 2
	bytesPerMB     = 1e6
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	f := flag.NewFlagSet("sesametrace", flag.ContinueOnError)
	f.SetOutput(errOut)
	fail := func(code int, err error) int {
		_, _ = fmt.Fprintln(errOut, "sesametrace:", err)
		return code
	}
	deployment := f.String("deployment", "", "`NAME` of the deployment: enxame-vivo or borough; all if empty")
	scenario := f.String("scenario", "", fmt.Sprintf("`NAME` of the scenario: one of %v; all if empty", trace.Scenarios()))
	seed := f.Uint64("seed", 1, "seed of the trace")
	annotations := f.Bool("annotations", false, "compare annotations of requests forwarded between regions")
	asJSON := f.Bool("json", false, "print JSON")
	if err := f.Parse(args); err != nil {
		return exitUsageError
	}
	if f.NArg() > 0 {
		return fail(exitUsageError, fmt.Errorf("unexpected argument %q; give only flags", f.Arg(0)))
	}
	setups, err := selectSetups(*deployment, *scenario)
	if err != nil {
		return fail(exitUsageError, err)
	}
	policies, writeRows := trace.Policies(), writePolicies
	if *annotations {
		policies, writeRows = trace.Annotations(), writeAnnotations
	}
	var rows []trace.Row
	for _, s := range setups {
		results, err := trace.Run(s, *seed, policies)
		if err != nil {
			return fail(exitFailure, err)
		}
		for _, r := range results {
			rows = append(rows, r.Row(&s))
		}
	}
	if *asJSON {
		writeRows = func(w io.Writer, rows []trace.Row) error { return json.NewEncoder(w).Encode(rows) }
	}
	if err := writeRows(out, rows); err != nil {
		return fail(exitFailure, err)
	}
	return 0
}

// selectSetups returns the setups that the flags select.
func selectSetups(deployment, scenario string) ([]trace.Setup, error) {
	deployments, scenarios := trace.Deployments(), trace.Scenarios()
	if deployment != "" {
		deployments = []string{deployment}
	}
	if scenario != "" {
		scenarios = []trace.Scenario{trace.Scenario(scenario)}
	}
	var setups []trace.Setup
	for _, d := range deployments {
		for _, c := range scenarios {
			s, err := trace.NewSetup(d, c)
			if err != nil {
				return nil, err
			}
			setups = append(setups, s)
		}
	}
	return setups, nil
}

// writePolicies writes a table that compares placement policies.
func writePolicies(out io.Writer, rows []trace.Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "deployment\tscenario\tpolicy\trequests\trefused\tp50 s\tp95 s\tothers p95 s\trecomputed\tlink MB\tJain\tbusy\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.1f%%\t%.1f\t%.3f\t%.0f%%\t\n",
			r.Deployment, r.Scenario, r.Policy, r.Requests, r.Refused, r.P50, r.P95, r.Others,
			100*r.Recomputed, float64(r.Bytes)/bytesPerMB, r.Jain, 100*r.Busy)
	}
	return w.Flush()
}

// writeAnnotations writes a table that compares annotations of forwarded requests.
func writeAnnotations(out io.Writer, rows []trace.Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "deployment\tscenario\tpolicy\thandovers\tmean first s\tattached bytes\tlookups\tlink MB\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.4f\t%d\t%d\t%.1f\t\n",
			r.Deployment, r.Scenario, r.Policy, r.Handovers, r.Handed, r.Attached, r.Lookups, float64(r.Bytes)/bytesPerMB)
	}
	return w.Flush()
}
