package follower

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestDistribution(t *testing.T) {
	for _, hosts := range []int{1, 2, 5, 12, 60} {
		t.Run("every node of a data centre runs what was accepted", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, hosts, 4, 1)
				fl.publish()
				fl.startAll()
				time.Sleep(inForceLimit)
				fl.assertRunning(1)
				for range 5 {
					fl.publish()
				}
				time.Sleep(inForceLimit)
				fl.assertRunning(6)
				fl.assertNoViolations()
			})
		})
	}
}
