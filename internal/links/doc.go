// Package links keeps a region's use of its links to other regions within their
// rates and accounts for every byte.
//
// # Shares
//
// The hosts of a region share a link's rate without a coordinator. Each starts
// with an equal split among the live hosts. A host that needs more sends the
// missing rate in its heartbeat, and each peer that answers lends half of the rate
// that it does not need itself. The lender reduces its own share for LoanTerm
// after it sent the loan; the borrower uses the loan for LoanTerm less LoanMargin
// after it arrived. The sum of the shares is therefore at most the rate as long as no loan arrives later than
// LoanMargin after it was sent and all hosts count the same number of live
// hosts. While they count differently, the sum is at most the rate times the
// largest count over the smallest, plus, for LoanTerm, the loans made before. A
// host that receives no answers falls back to the equal split within LoanTerm. A
// heartbeat carries two numbers for each link.
//
// # Transfers
//
// Link starts transfers from a token bucket that fills at the host's share.
// Transfers run directly between engines and stores and cannot be slowed down,
// so one starts whenever the bucket is not in debt: over any time, the bytes
// started exceed the share by at most one second's share and one transfer.
// Control transfers start at once and are charged. The others start in order of
// value per byte, and prefetches only when nothing else waits and the bucket is
// full. Requests that wait for the same block share one transfer.
//
// # Usage
//
//	l := links.New(links.Config{Rate: 3.75e6, Delay: delay}, now)
//	l.Submit(transfer, now)
//	for _, t := range l.Next(now) {
//		// order the transfer from its engine or store; then l.Progress and l.Done
//	}
//	wanted := l.RateShortfall(now)    // in a heartbeat
//	loan := l.Lend(wanted, now)       // in the peer's answer
//	l.Borrow(loan, now)               // when the answer arrives
//
// A Link is not safe for concurrent use.
package links
