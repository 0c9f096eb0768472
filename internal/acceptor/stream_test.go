package acceptor

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestBehindStream guards against a request that runs behind an answer whose end is
// not known yet: if that answer breaks off, it takes the connection and the other answer
// with it.
func TestRequestBehindStream(t *testing.T) {
	// play sends a second and a third request before the answer to the first one ends, and
	// returns which of them ran.
	play := func(t *testing.T, breaksOff bool) []string {
		var mu sync.Mutex
		var ran []string
		handler := func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			ran = append(ran, r.URL.Path)
			mu.Unlock()
			if r.URL.Path != "/first" {
				return
			}
			caller, _ := CallerOf(r.Context())
			assert.Assert(t, caller.MayStream())
			_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
			time.Sleep(time.Second)
			if breaksOff {
				panic(http.ErrAbortHandler)
			}
		}
		runServer(t, handler, func(t *testing.T, c *testClient) {
			c.get("/first")
			resp, err := http.ReadResponse(c.r, nil)
			assert.NilError(t, err)
			c.send("GET /second HTTP/1.1\r\nHost: a.example\r\n\r\nGET /third HTTP/1.1\r\nHost: a.example\r\n\r\n")
			_, err = io.Copy(io.Discard, resp.Body)
			assert.Equal(t, err != nil, breaksOff)
			_ = resp.Body.Close()
			if !breaksOff {
				c.assertStatus(http.StatusOK)
				c.assertStatus(http.StatusOK)
			}
		})
		slices.Sort(ran)
		return ran
	}
	t.Run("the answer ends", func(t *testing.T) {
		assert.DeepEqual(t, play(t, false), []string{"/first", "/second", "/third"})
	})
	t.Run("the answer breaks off", func(t *testing.T) {
		assert.DeepEqual(t, play(t, true), []string{"/first"})
	})
}

// TestMayStream guards against an answer that is streamed while other requests of the
// connection run.
func TestMayStream(t *testing.T) {
	answers := make(chan bool, 2)
	handler := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		caller, _ := CallerOf(r.Context())
		answers <- caller.MayStream()
		echoPath(w, r)
	}
	runServer(t, handler, func(_ *testing.T, c *testClient) {
		c.get("/a")
		c.get("/b")
		synctest.Wait()
		c.assertAnswer(http.StatusOK, "/a")
		c.assertAnswer(http.StatusOK, "/b")
	})
	assert.Assert(t, !<-answers, "the other request is in flight")
}
