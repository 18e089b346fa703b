// Package duty makes the calls to the platform's API that one daemon at a time makes for the whole
// fleet.
package duty
