// Package reference generates the operators' reference pages of settings and
// metrics from the code. Its tests compare the pages under docs/operators with
// the code; the test flag -update rewrites the pages.
package reference
