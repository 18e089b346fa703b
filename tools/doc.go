// Package tools pins the formatter, the linters and the code generators that the
// Makefile runs with "go tool".
package tools
