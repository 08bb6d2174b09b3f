package coordinator

import "pulleygw.example/pulleygw/internal/tier/invariant"

func init() { invariant.PanicOnViolation() }
