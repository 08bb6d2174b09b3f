// Package rules holds no code. Its tests check the pages against the code: that docs/rules-tests.md and docs/guarantees.md
// name tests, files, functions and invariants that exist, and that all pages quote log lines and code as they are.
package rules
