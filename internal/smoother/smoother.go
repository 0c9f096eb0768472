// Package smoother keeps exponentially smoothed means, also one for each route.
package smoother

// maxRoutes bounds the routes that are told apart, so that configurations which
// change all the time cost no memory.
const maxRoutes = 256

// Smooth moves a mean towards a sample; the first sample is the mean.
func Smooth(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

// ByRoute holds a mean for each route. The zero value with a weight is ready for
// use. It is not safe for concurrent use.
type RouteMeans struct {
	// Weight of one sample, above 0 and at most 1.
	Weight float64
	// means of at most maxRoutes routes; nil before the first sample.
	means map[string]float64
}

// Add takes in a sample; those of routes beyond the bound are left out.
func (b *RouteMeans) Add(route string, sample float64) {
	if b.means == nil {
		b.means = map[string]float64{}
	}
	if before, known := b.means[route]; known || len(b.means) < maxRoutes {
		b.means[route] = Smooth(before, sample, b.Weight)
	}
}

// Of returns the mean of a route; false when nothing is known of it.
func (b *RouteMeans) Mean(route string) (mean float64, known bool) {
	mean, known = b.means[route]
	return mean, known
}
