//go:build pin

// Package pin keeps library versions in go.mod until the code that uses them lands.
package pin

import (
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/hashicorp/yamux"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/rotisserie/eris"
	_ "github.com/sirupsen/logrus"
	_ "go.uber.org/goleak"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "pgregory.net/rapid"
)
