// Package slopes holds benchmarks of pure machines, and of single exchanges, at several
// sizes: docs/CAPACITY.md takes from them what one more node, worker, row or item costs.
package slopes
