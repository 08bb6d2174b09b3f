package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const events = `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"=== RUN TestA\n"}
{"Action":"output","Package":"p","Test":"TestA","Output":"wrong\n"}
{"Action":"fail","Package":"p","Test":"TestA/part"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p"}
`

func summarize(t *testing.T, input, knownRed string, status int) (bool, string) {
	t.Helper()
	known, err := parseKnownRed(strings.NewReader(knownRed))
	assert.NilError(t, err)
	out := &strings.Builder{}
	results, err := read(strings.NewReader(input), out, known)
	assert.NilError(t, err)
	return results.print(out, status), out.String()
}

func TestFailureFailsCI(t *testing.T) {
	pass, out := summarize(t, events, "", 1)
	assert.Assert(t, !pass)
	assert.Equal(t, out, "wrong\n1 tests passed, 2 failed, 0 known red\nFAILED p TestA/part\nFAILED p TestA\n")
}

func TestKnownRedTestIsPrintedOnly(t *testing.T) {
	pass, out := summarize(t, events, "# since the last change\np TestA # cause\n", 1)
	assert.Assert(t, pass)
	assert.Equal(t, out, "wrong\n1 tests passed, 0 failed, 2 known red\nKNOWN RED p TestA/part\nKNOWN RED p TestA\n")
}

func TestBuildFailureFailsCI(t *testing.T) {
	pass, _ := summarize(t, `{"Action":"fail","Package":"p","FailedBuild":"p"}`, "p TestA\n", 1)
	assert.Assert(t, !pass)
}

func TestFailureOfGoCommandFailsCI(t *testing.T) {
	pass, _ := summarize(t, "go: updates to go.mod needed\n", "", 1)
	assert.Assert(t, !pass)
	pass, _ = summarize(t, "", "", 1)
	assert.Assert(t, !pass)
}

func TestPassedTestsPassCI(t *testing.T) {
	pass, _ := summarize(t, `{"Action":"pass","Package":"p","Test":"TestB"}`, "", 0)
	assert.Assert(t, pass)
}

func TestKnownRedLineWithoutPackageIsRejected(t *testing.T) {
	_, err := parseKnownRed(strings.NewReader("TestA\n"))
	assert.Error(t, err, "known red tests, line 1: want a package and a test's name")
}
