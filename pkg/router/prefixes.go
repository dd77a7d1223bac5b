package router

const (
	prefixesPerBackend = 4096
)

// prefixCache records which prompt prefixes were recently sent to which backend server. It is a
// hint: engines evict prefixes on their own.
type prefixCache struct {
	sent map[string]*recentSet
}

// recentSet is a set that evicts its oldest member when it is full.
type recentSet struct {
	members map[uint64]bool
	order   []uint64
	next    int
}

func (p *prefixCache) has(backend string, prefix uint64) bool {
	r := p.sent[backend]
	return r != nil && r.members[prefix]
}

func (p *prefixCache) add(backend string, prefix uint64) {
	if p.sent == nil {
		p.sent = map[string]*recentSet{}
	}
	r := p.sent[backend]
	if r == nil {
		r = &recentSet{members: map[uint64]bool{}}
		p.sent[backend] = r
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
