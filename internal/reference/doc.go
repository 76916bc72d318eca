// Package reference writes the operators' reference pages of settings and
// metrics from the code. Its test compares the pages under docs/operators with
// the code; the flag -update refreshes them.
package reference
