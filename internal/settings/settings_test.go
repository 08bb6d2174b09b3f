package settings

import (
	"testing"
)

func TestSettings(t *testing.T) {
	if _, err := Parse([]byte("{nonsense")); err == nil {
		t.Error("took settings that are not JSON")
	}
	all, err := Parse([]byte(`{"siblings":3,"unknownKey":{"a":1},"tickUs":5000,"discovery":"ask",
		"classes":[{"effect":"keyed","onTimeUs":1000000,"memorySpanUs":500000,"worth":2}],
		"rules":{"extraPerRequest":0.05,"budgetFree":5}}`))
	if err != nil {
		t.Fatal(err)
	}
	s := all.Policy
	c := s.Classes[0]
	if !s.AskMode || !s.Rules.BudgetOn || s.Rules.BudgetFree != 5 || c.Need != 1 || c.Floor != 1 || c.Fetch != 0 {
		t.Errorf("settings %+v", s)
	}
}
