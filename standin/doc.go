// Package standin holds small fakes of the outside systems: the platform, model
// engines, plain services, the weight store and a trainer. It is used by tests, the
// demo and the bench, and is not shipped.
package standin
