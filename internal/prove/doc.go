// Package prove contains fault-injection tests on real processes. They build the
// dykewing command, run each role as a separate process against stand-ins of the
// platform, kill, pause and stop processes under load, and check the answers that
// callers received against the requests that the back ends ran.
package prove
