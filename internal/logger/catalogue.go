package logger

import "slices"

// Catalogue returns every event, in order of number.
func Catalogue() []Event {
	all := slices.Concat(lifeEvents, distributionEvents, membershipEvents, requestEvents, platformEvents)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
