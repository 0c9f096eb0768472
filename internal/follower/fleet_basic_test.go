package follower

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestDistribution(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ hosts, fanOut int }{{1, 8}, {2, 8}, {5, 8}, {12, 8}, {60, 8}, {60, 2}} {
		t.Run(fmt.Sprintf("%d nodes with fan-out %d run the accepted version", c.hosts, c.fanOut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, c.hosts, 4, 1)
				fl.fanOut = c.fanOut
				fl.publish()
				fl.startAll()
				time.Sleep(maxApplyDelay)
				fl.assertRunning(1)
				for range 5 {
					fl.publish()
				}
				time.Sleep(maxApplyDelay)
				fl.assertRunning(6)
				fl.assertNoViolations()
			})
		})
	}
}
