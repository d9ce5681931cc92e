// Package queue decides the order of the requests that wait for capacity at the targets of
// a service, and which of them are refused. All decisions are pure: time and random numbers
// are arguments.
//
// Order: requests that can still meet their latency target come first, earliest end of the
// target first. Less urgent requests, and those of accounts that got more than an equal
// share, count as if their target ended later, but this slack is bounded. Requests past
// their latency target come last.
//
// Pass: a large request that finds no room does not hold up smaller ones behind it, until
// they have taken twice the room that it needs.
//
// Rates and Judge: the wait of a request is predicted from the work before it and the rate
// at which requests of its size have got room lately. One that would start too late to be of
// use to its caller is refused at once.
//
// # Usage
//
//	pass := queue.NewPass()
//	for _, i := range queue.Order(items, now) {
//		if !pass.Try(items[i]) {
//			continue
//		}
//		// try to place items[i], then pass.Granted(items[i]) or pass.Missed(&items[i])
//	}
//	var before queue.Waiting
//	for _, i := range waiting {
//		verdict := queue.Judge(items[i], rates.Wait(before, items[i], now), now, rand.Float64())
//		before.Add(items[i])
//	}
//	rates.Observe(before, now)
package queue
