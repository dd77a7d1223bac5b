package synchronizer

import "bronzelead.example/pkg/wire"

// maxPendingAdapters bounds the adapters whose demand is buffered for one unresponsive
// instance.
const maxPendingAdapters = 4096

// demandBuffer holds, for each instance, the demand that has not been sent to it yet. All
// controllers receive it, so that the next leader knows the demand too.
type demandBuffer map[string]map[string]uint32

// add adds requests for each of the target instances.
func (u demandBuffer) add(list []*wire.Demand, addresses []string) {
	for _, address := range addresses {
		counts := u[address]
		if counts == nil {
			counts = map[string]uint32{}
			u[address] = counts
		}
		for _, d := range list {
			if _, known := counts[d.GetAdapter()]; known || len(counts) < maxPendingAdapters {
				counts[d.GetAdapter()] += d.GetRequests()
			}
		}
	}
}

// take returns and clears the buffered demand of an instance.
func (u demandBuffer) take(address string) []*wire.Demand {
	counts := u[address]
	delete(u, address)
	list := make([]*wire.Demand, 0, len(counts))
	for adapter, n := range counts {
		list = append(list, &wire.Demand{Adapter: adapter, Requests: n})
	}
	return list
}
