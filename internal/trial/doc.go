// Package trial replays a load pattern against real hosts and measures latency,
// refusals and failures on the callers' side.
//
// A trial runs each host as a separate process; engines, the platform's store
// and callers are simulated in the calling process. A pattern and a seed
// determine all arrivals, so that policies can be compared under the same load.
// Time is not simulated: if the machine is short of CPU time, the results reflect
// the machine and not the policy.
//
// # Usage
//
//	p, err := trial.Load("burst.toml")
//	report, err := trial.Run(ctx, p, trial.WithProgram("./sesamed"), trial.WithPolicy("least"))
//	report.Print(os.Stdout)
package trial
