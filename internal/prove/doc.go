// Package prove holds the proofs on real processes: it builds the dykewing
// command, runs the roles as separate processes against stand-ins of the
// platform, kills, pauses and stops them while callers work, and checks what
// the callers and the back ends saw. It has no code of its own besides tests.
package prove
