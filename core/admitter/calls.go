package admitter

const (
	// minCallRequests is the number of requests, decaying, from which a route may count as
	// a route of calls.
	minCallRequests = 200
	// callDecay is the weight that the counts of a route keep at its next request. With it
	// they reach 200 after 256 requests, and 500 at most.
	callDecay = 0.998
	// maxFleetShare bounds the part of the fleet that runs the services whose VMs the
	// requests of a route of calls come from. Outside callers use all VMs.
	maxFleetShare = 0.6
	// forgottenBelow is the count at which a service that sent requests is forgotten: a
	// single request after 1,150 others.
	forgottenBelow = 0.1
	// maxCallRoutes and maxCallServices bound what is kept. Further routes are none of
	// calls, and neither is a route with more services.
	maxCallRoutes   = 256
	maxCallServices = 16
)

// CallRoutes tells which routes only the servers of some services call. A call has no mark
// of its own: it enters at its server's VM like the requests of outside callers, which enter
// at all VMs.
type CallRoutes struct {
	byRoute map[string]map[string]float64
}

// NewCallRoutes returns a CallRoutes without routes.
func NewCallRoutes() *CallRoutes { return &CallRoutes{byRoute: map[string]map[string]float64{}} }

// Observe records a request that entered at a VM of the service.
func (cr *CallRoutes) Observe(route, service string) {
	counts := cr.byRoute[route]
	if counts == nil {
		if len(cr.byRoute) == maxCallRoutes {
			return
		}
		counts = map[string]float64{}
		cr.byRoute[route] = counts
	}
	for other, count := range counts {
		if count *= callDecay; count < forgottenBelow {
			delete(counts, other)
		} else {
			counts[other] = count
		}
	}
	if _, isKnown := counts[service]; isKnown || len(counts) < maxCallServices {
		counts[service]++
	}
}

// IsCall reports whether requests on the route are calls. FleetShare returns the part of the
// fleet that runs a service, from 0 to 1.
func (cr *CallRoutes) IsCall(route string, fleetShare func(service string) float64) bool {
	sum, share := 0.0, 0.0
	counts := cr.byRoute[route]
	for service, count := range counts {
		if service == "" {
			return false // the entry doesn't know its service
		}
		sum += count
		share += fleetShare(service)
	}
	return sum >= minCallRequests && share < maxFleetShare && len(counts) < maxCallServices
}
