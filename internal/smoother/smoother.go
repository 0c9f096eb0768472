// Package smoother computes exponentially weighted moving averages, also by route.
package smoother

// maxRoutes bounds the number of tracked routes, so that memory does not grow when
// the configured routes keep changing.
const maxRoutes = 256

// Smooth returns the mean moved towards a sample by weight. A mean of 0 counts as
// unset, and the sample is returned.
func Smooth(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

// RouteMeans holds a mean for each route. The zero value with a weight is ready
// for use. It is not safe for concurrent use.
type RouteMeans struct {
	// Weight is the weight of one sample, above 0 and at most 1.
	Weight float64
	// means is keyed by route and holds at most maxRoutes; nil before the first sample.
	means map[string]float64
}

// Add records a sample of a route. Samples of new routes beyond maxRoutes are ignored.
func (b *RouteMeans) Add(route string, sample float64) {
	if b.means == nil {
		b.means = map[string]float64{}
	}
	if before, known := b.means[route]; known || len(b.means) < maxRoutes {
		b.means[route] = Smooth(before, sample, b.Weight)
	}
}

// Set replaces the mean of a route that has one.
func (b *RouteMeans) Set(route string, mean float64) {
	if _, known := b.means[route]; known {
		b.means[route] = mean
	}
}

// Mean returns the mean of a route, or false if it has none.
func (b *RouteMeans) Mean(route string) (mean float64, known bool) {
	mean, known = b.means[route]
	return mean, known
}
