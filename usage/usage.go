// Package usage counts the requests of each organisation that replicas began to run, by windows of
// true time, and collects the counts of all daemons. True time is estimated from the wall clocks of
// several daemons. Each daemon sends its counts to two others, so that they survive the loss of the
// daemon that counted and of one that received them. Nothing is kept in the store.
package usage
