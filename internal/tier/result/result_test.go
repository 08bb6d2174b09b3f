package result_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/result"
)

const codesPage = "../../../docs/result-codes.md"

// codesPageHeader is the text above the table. With PULLEYGW_WRITE_DOCS=1, TestPageListsEveryCode writes the page.
const codesPageHeader = `# Result codes of the control API

Answers of the control API that are no success carry a JSON body with ` + "`code`, `name`, `message` and, where one is at\nfault, `field`" + `.
Numbers keep their meaning for good. The data path answers with HTTP statuses alone.

| code | name | status | what has happened | what to do |
| --- | --- | --- | --- | --- |
`

func renderCodesPage() string {
	text := strings.Builder{}
	text.WriteString(codesPageHeader)
	for _, row := range result.Table() {
		fmt.Fprintf(&text, "| %d | `%s` | %d | %s | %s |\n", row.Code, row.Name, row.Status, row.Meaning, row.Action)
	}
	return text.String()
}

func TestPageListsEveryCode(t *testing.T) {
	if os.Getenv("PULLEYGW_WRITE_DOCS") != "" {
		assert.NilError(t, os.WriteFile(codesPage, []byte(renderCodesPage()), 0o644))
	}
	got, err := os.ReadFile(codesPage)
	assert.NilError(t, err)
	assert.Equal(t, string(got), renderCodesPage())
}

func TestCodesAscendAndNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	previous := result.Code(0)
	for _, row := range result.Table() {
		assert.Assert(t, row.Code > previous, "code %d is not greater than the previous code %d", row.Code, previous)
		previous = row.Code
		assert.Assert(t, !names[row.Name], "name %s is used by two codes", row.Name)
		names[row.Name] = true
		assert.Assert(t, row.Status >= 400 && row.Status < 600, "%s has status %d", row.Name, row.Status)
		assert.Assert(t, row.Meaning != "" && row.Action != "", "%s has no meaning or no action", row.Name)
	}
}

func TestUncertainResultsAreServerErrors(t *testing.T) {
	for _, row := range result.Table() {
		if row.Code >= 5000 {
			assert.Assert(t, row.Status >= 500, "%s has status %d, which tells the caller that the change was rejected", row.Name, row.Status)
		}
	}
}

func TestWriteNamesTheField(t *testing.T) {
	recorder := httptest.NewRecorder()
	result.Write(recorder, result.InField(result.InvalidConfiguration, "routes[3].backend", `service "x" is not known`))
	assert.Equal(t, recorder.Code, 400)
	assert.Equal(t, recorder.Header().Get("Content-Type"), "application/json")
	body := result.Body{}
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
	assert.DeepEqual(t, body, result.Body{
		Code: 2001, Name: "invalid_configuration", Field: "routes[3].backend", Message: `service "x" is not known`,
	})
}

func TestWriteWithoutMessageSendsTheMeaning(t *testing.T) {
	recorder := httptest.NewRecorder()
	result.Write(recorder, result.New(result.Uncertain, ""))
	assert.Equal(t, recorder.Code, 503)
	body := result.Body{}
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
	assert.Equal(t, body.Message, "The change was proposed and its outcome is unknown; it may be in force.")
}

func TestUnknownCodeIsInternalError(t *testing.T) {
	assert.Equal(t, result.Code(9999).Status(), 500)
	assert.Equal(t, result.Code(9999).String(), "9999")
}
