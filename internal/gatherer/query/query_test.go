package query

import (
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

func parse(text string) (Query, *Error) {
	if e := CheckObject(text); e != nil {
		return nil, e
	}
	var q Query
	var e *Error
	gjson.Parse(text).ForEach(func(_, v gjson.Result) bool { q, e = Parse(text, v); return false })
	return q, e
}

// Equivalent texts have the same canonical form, and a canonical form parses to itself.
func TestCanonicalForm(t *testing.T) {
	for text, want := range map[string]string{
		`{"query": {"match":{"title":"x"}}}`:                                         `{"match":{"title":{"query":"x"}}}`,
		`{"query":{"match":{"title":{"operator":"AND","query":"x","boost":2}}}}`:     `{"match":{"title":{"query":"x","operator":"and","boost":2}}}`,
		`{"query":{"term":{"n":9007199254740993}}}`:                                  `{"term":{"n":{"value":9007199254740993}}}`,
		`{"query":{"terms":{"n":["b","a","b"]}}}`:                                    `{"terms":{"n":["a","b"]}}`,
		`{"query":{"ids":{"values":["2","1"]}}}`:                                     `{"ids":{"values":["1","2"]}}`,
		`{"query":{"range":{"d":{"lt":"2026-01-01","gte":5,"time_zone":"+09:00"}}}}`: `{"range":{"d":{"gte":5,"lt":"2026-01-01","time_zone":"+09:00"}}}`,
		`{"query":{"bool":{"filter":[{"term":{"b":1}},{"term":{"a":1}}],"must":{"match_all":{}}}}}`: `{"bool":{"must":[{"match_all":{}}],` +
			`"filter":[{"term":{"a":{"value":1}}},{"term":{"b":{"value":1}}}]}}`,
		`{"query":{"constant_score":{"filter":{"exists":{"field":"a"}},"boost":3}}}`:   `{"constant_score":{"filter":{"exists":{"field":"a"}},"boost":3}}`,
		`{"query":{"wildcard":{"a":{"wildcard":"x*","case_insensitive":true}}}}`:       `{"wildcard":{"a":{"value":"x*","case_insensitive":true}}}`,
		`{"query":{"multi_match":{"query":"x","fields":["a","b^2"],"type":"phrase"}}}`: `{"multi_match":{"query":"x","fields":["a","b^2"],"type":"phrase"}}`,
		`{"query":{"match_phrase_prefix":{"a":"x y"}}}`:                                `{"match_phrase_prefix":{"a":{"query":"x y"}}}`,
		`{"query":{"prefix":{"a":""}}}`:                                                `{"prefix":{"a":{"value":""}}}`,
		`{"query":{"match_none":{}}}`:                                                  `{"match_none":{}}`,
	} {
		q, e := parse(text)
		if e != nil || string(JSON(q)) != want {
			t.Errorf("%s\n got %v %v\nwant %s", text, q, e, want)
			continue
		}
		if again, e := parse(`{"q":` + want + `}`); e != nil || string(JSON(again)) != want {
			t.Errorf("%s parses to %v %v", want, again, e)
		}
	}
}

// Errors are reported with the line and the column at which they are.
func TestErrorPositions(t *testing.T) {
	deep := func(n int) string {
		return `{"query":` + strings.Repeat(`{"bool":{"must":`, n) + `{"match_all":{}}` + strings.Repeat(`}}`, n) + `}`
	}
	for _, x := range []struct {
		text         string
		line, column int
		want         string
	}{
		{"{\"query\":\n  {\"match\":{\"title\":{\"quary\":1}}}}", 2, 22, "not supported here: [quary]"},
		{`{"query":{"frobnicate":{}}}`, 1, 11, "unknown query [frobnicate]"},
		{`{"query":5}`, 1, 10, "not an object"},
		{`{"query":{"match":{"a":1},"term":{"b":2}}}`, 1, 10, "several members"},
		{`{"query":{"bool":{"must":[{"match_all":{}},{"match":5}]}}}`, 1, 53, "[match] is not an object"},
		{`{"query":{"range":{"a":{"gt":1,"gte":2}}}}`, 1, 24, "two bounds"},
		{`{"query":{"range":{"a":{}}}}`, 1, 24, "no bound"},
		{`{"query":{"match":{"a":{"query":"x","boost":-1}}}}`, 1, 45, "[boost]"},
		{`{"query":{"match":{"a":{"query":"x","query":"y"}}}}`, 1, 37, "stands twice"},
		{`{"query":{"terms":{"a":1}}}`, 1, 24, "not a list"},
		{`{"query":{"bool":{"should":[],"minimum_should_match":"2<75%"}}}`, 1, 18, "[minimum_should_match]"},
		{"{\"query\":\n{\"match\":}}", 2, 10, "not JSON"},
		{`[]`, 1, 1, "not a JSON object"},
		{deep(30), 1, 9 + 20*16 + 1, "nested deeper than 20"},
		{deep(1000), 1, 9 + 20*16 + 1, "nested deeper than 20"},
		{`{"query":{"bool":{"must":[` + strings.Repeat(`{"match_all":{}},`, 1100) + `{"match_all":{}}]}}}`, 1, 27 + 17*1023, "more than 1024"},
	} {
		_, e := parse(x.text)
		if e == nil || e.Line != x.line || e.Column != x.column || !strings.Contains(e.Reason, x.want) {
			t.Errorf("%.70s: %v, want line %d, column %d: %s", x.text, e, x.line, x.column, x.want)
		}
	}
}

// A query string gives the same canonical form as its equivalent in JSON.
func TestQueryString(t *testing.T) {
	for text, want := range map[string]string{
		`make:deere AND year:[2015 TO *]`:   `{"bool":{"must":[{"match":{"make":{"query":"deere"}}},{"range":{"year":{"gte":2015}}}]}}`,
		`tractor cab`:                       `{"bool":{"should":[{"multi_match":{"query":"tractor","fields":["*"]}},{"multi_match":{"query":"cab","fields":["*"]}}]}}`,
		`+title:cab -title:"for parts"`:     `{"bool":{"must":[{"match":{"title":{"query":"cab"}}}],"must_not":[{"match_phrase":{"title":{"query":"for parts"}}}]}}`,
		`title:(cab OR gps~1)^2`:            `{"bool":{"must":[{"bool":{"should":[{"match":{"title":{"query":"cab"}}},{"match":{"title":{"query":"gps","fuzziness":"1"}}}]}}],"boost":2}}`,
		`NOT make:ls`:                       `{"bool":{"must_not":[{"match":{"make":{"query":"ls"}}}]}}`,
		`price:>=1000 && price:{* TO 2000}`: `{"bool":{"must":[{"range":{"price":{"gte":1000}}},{"range":{"price":{"lt":2000}}}]}}`,
		`price:[-5 TO "x y"]`:               `{"range":{"price":{"gte":-5,"lte":"x y"}}}`,
		`closing:[2026-01-01 TO now}`:       `{"range":{"closing":{"gte":"2026-01-01","lt":"now"}}}`,
		`make:*`:                            `{"exists":{"field":"make"}}`,
		`make:cl*`:                          `{"prefix":{"make":{"value":"cl"}}}`,
		`make:c?a*s`:                        `{"wildcard":{"make":{"value":"c?a*s"}}}`,
		`*`:                                 `{"match_all":{}}`,
		`title:low\-hours\:x^1.5`:           `{"match":{"title":{"query":"low-hours:x","boost":1.5}}}`,
		`title:"a \"b\""~3`:                 `{"match_phrase":{"title":{"query":"a \"b\"","slop":3}}}`,
		`a:1 OR b:2 AND c:3`:                `{"bool":{"should":[{"match":{"a":{"query":"1"}}},{"bool":{"must":[{"match":{"b":{"query":"2"}}},{"match":{"c":{"query":"3"}}}]}}]}}`,
	} {
		if q, e := ParseQueryString(text, "", false); e != nil || string(JSON(q)) != want {
			t.Errorf("%s: %v\n got %s\nwant %s", text, e, JSON(orMatchNone(q)), want)
		}
	}
	if q, e := ParseQueryString("a b", "title", true); e != nil || string(JSON(q)) != `{"bool":{"must":[{"match":{"title":{"query":"a"}}},{"match":{"title":{"query":"b"}}}]}}` {
		t.Errorf("%s %v", JSON(orMatchNone(q)), e)
	}
	for text, want := range map[string]string{"": "no query", "make:": "column 6", "(a": "column 3", "a)": "column 2", "year:[1 TO": "", "[1 TO 2]": "wants a field",
		"a^x": "boost", `"a"~x`: "slop", "t:a~7": "fuzziness", "x*y": "wants a field", strings.Repeat("(", 1000) + "a": "nested deeper",
		strings.Repeat("a ", 3000): "longer than", `"a`: "", strings.Repeat("a ", 1500): "more than"} {
		if q, e := ParseQueryString(text, "", false); e == nil || !strings.Contains(e.Error(), want) {
			t.Errorf("%.20q: %v %v, want %q", text, q, e, want)
		}
	}
}

func orMatchNone(q Query) Query {
	if q == nil {
		return MatchNone{}
	}
	return q
}

var validQueries = []string{
	`{"query":{"bool":{"must":[{"match":{"t":{"query":"x","operator":"and","minimum_should_match":"75%"}}}],"should":{"term":{"a":true}},"filter":[{"range":{"y":{"gte":1}}}]}}}`,
	`{"query":{"constant_score":{"filter":{"terms":{"a":[1,2,"x"]}},"boost":1.5}}}`,
}

// checkCanonical returns the error of parsing a text. It panics if the canonical form of an accepted text does not parse to
// itself.
func checkCanonical(b []byte) error {
	q, e := parse(string(b))
	if e != nil {
		return e
	}
	if q != nil {
		text := JSON(q)
		if again, e := parse(`{"q":` + string(text) + `}`); e != nil || string(JSON(again)) != string(text) {
			panic("not canonical: " + string(text))
		}
	}
	return nil
}

// checkQueryStringCanonical does the same for a query string.
func checkQueryStringCanonical(b []byte) error {
	q, e := ParseQueryString(string(b), "", false)
	if e != nil {
		return e
	}
	return checkCanonical([]byte(`{"q":` + string(JSON(q)) + `}`))
}

// Truncated and corrupt input gets an error with its position, and what is accepted has a canonical form.
func TestCorruptInput(t *testing.T) {
	proptest.CheckParser(t, true, checkCanonical, validQueries...)
	proptest.CheckParser(t, false, checkQueryStringCanonical, `make:deere AND year:[2015 TO *] -title:"for parts"^2 (cab OR gps~1) x:>=3`)
}

func FuzzQuery(f *testing.F) {
	for _, v := range validQueries {
		f.Add([]byte(v))
	}
	f.Fuzz(func(_ *testing.T, b []byte) { _ = checkCanonical(b) })
}

func FuzzParseQueryString(f *testing.F) {
	f.Add([]byte(`make:deere AND year:[2015 TO *] -title:"for parts"^2 (cab OR gps~1)`))
	f.Fuzz(func(_ *testing.T, b []byte) { _ = checkQueryStringCanonical(b) })
}
