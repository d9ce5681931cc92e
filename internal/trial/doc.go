// Package trial plays a load pattern against real hosts and measures what callers
// get.
//
// A trial runs each host as a process of its own; engines, the platform's store
// and callers are stand-ins in the calling process. A pattern and a seed
// determine all arrivals, so that policies can be compared under the same load.
// Times are real: a trial on a machine that is short of processor time measures
// the machine.
//
// # Usage
//
//	p, err := trial.Load("burst.toml")
//	report, err := trial.Run(ctx, p, trial.WithProgram("./sesamed"), trial.WithPolicy("least"))
//	report.Print(os.Stdout)
package trial
