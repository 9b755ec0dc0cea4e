// Package slopes contains benchmarks of state machines and message exchanges at
// several fleet sizes. docs/CAPACITY.md derives the marginal cost of a node,
// worker, row or item from them.
package slopes
