// Package tools pins the versions of the formatter, the linters and the code generators
// that the Makefile uses.
package tools
