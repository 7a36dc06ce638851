// Package modelcheck explores small worlds of the product's own registers: acceptors and
// proposers whose messages are delivered, lost, repeated and overtaken in any order, while
// acceptors lose power and disks. It is a tool of developers and CI; no daemon uses it.
//
// A run begins with the schedule that delivers each message in the order of sending. A
// deviation is any other step at one point of it. Runs are explored by their number of
// deviations, the fewest first; a state that was reached before is not explored again.
// What a search did not reach it tells: see Report.
package modelcheck
