//go:build ablation

package ablation

import "strings"

// disabled holds the names of the disabled mechanisms, separated by commas. It is set at link time.
var disabled string

var disabledSet = func() map[Mechanism]bool {
	names := map[Mechanism]bool{}
	for _, name := range strings.Split(disabled, ",") {
		names[Mechanism(name)] = true
	}
	return names
}()

// Disabled reports whether this build disables the mechanism.
func Disabled(m Mechanism) bool { return disabledSet[m] }
