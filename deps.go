//go:build deps

package pollenlatch

// Keeps modules that the first packages are about to use in go.mod.
import (
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/goccy/go-yaml"
	_ "github.com/hashicorp/yamux"
	_ "github.com/integrii/flaggy"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/samber/oops"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/histogram"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
