// Package daemon assembles the modules into a daemon and provides its settings, HTTP
// interface, health checks, metrics, state dump and graceful shutdown.
package daemon
