// Package daemon wires the packages into one process: settings, HTTP interface,
// health, metrics, state dump and graceful shutdown.
package daemon
