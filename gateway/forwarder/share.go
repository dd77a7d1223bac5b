package forwarder

import (
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/wire"
)

// sharingCustomer returns the customer whose share of contended slots a request uses, "" if it
// has none.
func (f *Forwarder) sharingCustomer(j *job) string {
	if f.Disabled.Has(ablator.FairShares) {
		return ""
	}
	return j.customer.GetName()
}

// refundShare takes back what was counted towards a customer's share when a backend server was
// chosen, if that did not run the request. The caller holds the lock.
func (f *Forwarder) refundShare(j *job) {
	f.balancer.Refund(f.Clock.Now(), &balancer.Waiter{Service: j.service, Customer: f.sharingCustomer(j), Tokens: j.meta.PromptTokens})
}

// recordUnsent drops the choice of a backend server to which the request was not sent.
func (f *Forwarder) recordUnsent(j *job, backend string) {
	f.mu.Lock()
	f.refundShare(j)
	f.mu.Unlock()
	f.recordOutcome(j, backend, balancer.Abandoned)
}

// setSharingCustomers sets the customers whose limits weight their shares. The caller holds the
// lock.
func (f *Forwarder) setSharingCustomers(customers []*wire.RoutedCustomer) {
	f.balancer.SetCustomers(customers)
	if f.Regulator != nil {
		f.Regulator.SetCustomers(customers)
	}
}

// logAboveShare logs and counts the requests that were refused because their customers were
// above their shares of a service, since the last log line.
func (f *Forwarder) logAboveShare() {
	f.mu.Lock()
	services := f.balancer.TakeAboveShare(f.Clock.Now())
	f.mu.Unlock()
	above := 0
	for _, s := range services {
		above += len(s.Customers)
		text, refused := regulator.DescribeAboveShare(f.Meter, "requests_refused_above_share", s.Customers)
		if refused > 0 {
			f.Log.Info("customers above their share of a service were refused", "Service", s.Service, "Refused", refused, "Customers", text)
		}
	}
	f.Meter.SetGauge("customers_above_share", float64(above))
}
