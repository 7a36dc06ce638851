// Package modelcheck is a model checker that runs the product's own code: acceptors, proposers,
// lease issuers and holders, and control daemons in small clusters. It explores schedules in which
// messages are delivered in any order, lost, repeated and delayed, and nodes lose power or their
// disks. It is a tool for developers and CI; no daemon uses it.
//
// The default schedule delivers each message in the order of sending. A deviation is any other
// step at one point of the schedule. Runs are explored in the order of their number of deviations,
// fewest first, and a state that was visited before is not explored again. The Report of a search
// states what was left unexplored.
package modelcheck
