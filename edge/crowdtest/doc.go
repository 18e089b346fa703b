// Package crowdtest holds tests that start an edge daemon as a process of its own and load it with
// crowds of clients that exceed its limits.
package crowdtest
