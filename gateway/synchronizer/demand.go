package synchronizer

import "bronzelead.example/pkg/wire"

// maxUntold bounds the adapters of which an instance that does not answer is to be told.
const maxUntold = 4096

// untoldDemand is what instances have not been told yet of the requests that were taken.
// All controllers are told, so that the next leader knows what is asked for.
type untoldDemand map[string]map[string]uint32

// add notes requests for each of the instances that are told.
func (u untoldDemand) add(list []*wire.Demand, addresses []string) {
	for _, address := range addresses {
		counts := u[address]
		if counts == nil {
			counts = map[string]uint32{}
			u[address] = counts
		}
		for _, d := range list {
			if _, known := counts[d.GetAdapter()]; known || len(counts) < maxUntold {
				counts[d.GetAdapter()] += d.GetRequests()
			}
		}
	}
}

// take returns what an instance is told next, and forgets it.
func (u untoldDemand) take(address string) []*wire.Demand {
	counts := u[address]
	delete(u, address)
	list := make([]*wire.Demand, 0, len(counts))
	for adapter, n := range counts {
		list = append(list, &wire.Demand{Adapter: adapter, Requests: n})
	}
	return list
}
