// Package usage counts the requests of each organisation that replicas began to run, by windows of
// true time, and collects the counts of all daemons.
package usage
