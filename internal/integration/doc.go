// Package integration tests the daemons as processes against stand-ins of the
// platform. It kills and stops each role under load and counts lost and duplicate
// requests at the back ends.
package integration
