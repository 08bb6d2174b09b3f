//go:build ablation

package ablation

import "strings"

// leftOut names what the build leaves out, by commas. It is set at link time.
var leftOut string

var off = func() map[Mechanism]bool {
	names := map[Mechanism]bool{}
	for _, name := range strings.Split(leftOut, ",") {
		names[Mechanism(name)] = true
	}
	return names
}()

// Off says whether the build leaves a mechanism out.
func Off(m Mechanism) bool { return off[m] }
