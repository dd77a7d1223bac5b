package slotgranter

import "slices"

// Waiting returns the requests that wait for a slot.
func (g *Granter) Waiting() []GrantRequest { return slices.Clone(g.waiting) }
