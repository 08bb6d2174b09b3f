package placement

import "pulleygw.example/pulleygw/internal/tier/invariant"

func init() { invariant.PanicOnViolation() }
