// Package e2e tests the promises on real processes: entries and control
// processes are killed, frozen and cut from the store while callers go on. The
// outside systems are stand-ins inside the test process.
package e2e
