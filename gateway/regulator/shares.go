package regulator

import (
	"fmt"
	"strings"
	"time"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/sharer"
	"bronzelead.example/pkg/wire"
)

// maxLoggedCustomers bounds the customers that one log line names.
const maxLoggedCustomers = 8

// SetCustomers sets the customers of the table in force, whose limits are the weights of their
// shares.
func (r *Regulator) SetCustomers(customers []*wire.RoutedCustomer) {
	weights := sharer.WeightsOf(customers)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weights = weights
}

// logAboveShare logs and counts the requests that were refused because their customers were
// above their shares of a backend server's slots. The caller holds the lock.
func (r *Regulator) logAboveShare(now time.Time, backend string, e *engine) {
	text, refused := DescribeAboveShare(r.Meter, "slots_refused_above_share", e.granter.TakeAboveShare(now))
	if refused > 0 {
		r.Log.Info("customers above their share of the slots were refused", "Backend", backend, "Refused", refused, "Customers", text)
	}
}

// DescribeAboveShare returns the text for a log line on the customers of whom requests were
// refused, and the number of these, and adds it to a counter unless m is nil.
func DescribeAboveShare(m *meter.Meter, counter string, list []sharer.Status) (text string, refused int) {
	var names []string
	for _, status := range list {
		if status.Refused == 0 {
			continue
		}
		refused += status.Refused
		if m != nil {
			m.Add(counter, "customer", status.Customer, int64(status.Refused))
		}
		if len(names) < maxLoggedCustomers {
			names = append(names, fmt.Sprintf("%q: %d refused, %.1f times its share", status.Customer, status.Refused, status.Excess))
		}
	}
	return strings.Join(names, "; "), refused
}
