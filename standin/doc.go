// Package standin holds small fakes of the external systems (the platform, model engines,
// plain services, the weight store and a trainer) and the programs that run daemons against
// them. It is used by tests, the demo and the bench, and is not shipped.
package standin
