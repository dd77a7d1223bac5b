package acceptor

import "time"

// refusalLogInterval is the shortest time between two log lines on requests that could not be read.
const refusalLogInterval = time.Second

// recordRefusal logs and counts a request that could not be read.
func (a *Acceptor) recordRefusal(c *conn, status int, reason error) {
	if a.OnRefusal != nil {
		a.OnRefusal(status)
	}
	if omitted, ok := a.refusals.Take(a.Clock.Now()); ok {
		a.Log.Info("rejected a request that could not be read", "Caller", c.RemoteAddr().String(), "Status", status,
			"Reason", reason.Error(), "NotLogged", omitted)
	}
}
