//go:build !ablation

package ablation

// Off says whether the build leaves a mechanism out.
func Off(Mechanism) bool { return false }
