//go:build !ablation

package ablation

// Disabled reports whether this build disables the mechanism. Builds without the tag "ablation" disable none.
func Disabled(Mechanism) bool { return false }
