package router

const (
	prefixesPerBackend = 4096
)

// prefixCache remembers which beginnings of prompts were lately sent to which
// backend server. It is a hint: engines forget on their own.
type prefixCache struct {
	seen map[string]*recent
}

// recent is a set that forgets its oldest member when it is full.
type recent struct {
	members map[uint64]bool
	order   []uint64
	next    int
}

func (p *prefixCache) has(backend string, prefix uint64) bool {
	r := p.seen[backend]
	return r != nil && r.members[prefix]
}

func (p *prefixCache) add(backend string, prefix uint64) {
	if p.seen == nil {
		p.seen = map[string]*recent{}
	}
	r := p.seen[backend]
	if r == nil {
		r = &recent{members: map[uint64]bool{}}
		p.seen[backend] = r
	}
	if r.members[prefix] {
		return
	}
	if len(r.order) < prefixesPerBackend {
		r.order = append(r.order, prefix)
	} else {
		delete(r.members, r.order[r.next])
		r.order[r.next] = prefix
		r.next = (r.next + 1) % prefixesPerBackend
	}
	r.members[prefix] = true
}
