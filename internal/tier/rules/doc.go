// Package rules holds no code: its test checks the page docs/rules-tests.md against the tests that it names.
package rules
