// Package organisation decides whether a request with an API key may run and for which organisation.
package organisation
