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

func judge(t *testing.T, input, knownRed string, status int) (bool, string) {
	t.Helper()
	known, err := parseKnownRed(strings.NewReader(knownRed))
	assert.NilError(t, err)
	out := &strings.Builder{}
	collected, err := read(strings.NewReader(input), out, known)
	assert.NilError(t, err)
	return collected.print(out, status), out.String()
}

func TestAFailureCounts(t *testing.T) {
	good, out := judge(t, events, "", 1)
	assert.Assert(t, !good)
	assert.Equal(t, out, "wrong\n1 tests passed, 2 failed, 0 known red\nFAILED p TestA/part\nFAILED p TestA\n")
}

func TestAKnownRedTestIsPrintedAndDoesNotCount(t *testing.T) {
	good, out := judge(t, events, "# since the last change\np TestA # cause\n", 1)
	assert.Assert(t, good)
	assert.Equal(t, out, "wrong\n1 tests passed, 0 failed, 2 known red\nKNOWN RED p TestA/part\nKNOWN RED p TestA\n")
}

func TestAPackageThatDoesNotBuildCountsWhateverIsKnown(t *testing.T) {
	good, _ := judge(t, `{"Action":"fail","Package":"p","FailedBuild":"p"}`, "p TestA\n", 1)
	assert.Assert(t, !good)
}

func TestTheGoCommandsOwnFailureCounts(t *testing.T) {
	good, _ := judge(t, "go: updates to go.mod needed\n", "", 1)
	assert.Assert(t, !good)
	good, _ = judge(t, "", "", 1)
	assert.Assert(t, !good)
}

func TestAllGreen(t *testing.T) {
	good, _ := judge(t, `{"Action":"pass","Package":"p","Test":"TestB"}`, "", 0)
	assert.Assert(t, good)
}

func TestAKnownRedLineWithoutAPackageIsRefused(t *testing.T) {
	_, err := parseKnownRed(strings.NewReader("TestA\n"))
	assert.Error(t, err, "known red tests, line 1: want a package and a test's name")
}
