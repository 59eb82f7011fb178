package entry

import (
	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/exposition"
	"github.com/vanillagate/vanillagate/internal/intake"
)

// serveMetrics writes all metrics in the Prometheus text format.
func (s *Server) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	intake.UpdateGauges(s.opts.Metrics, s.memory, s.connections)
	exposition.Write(ctx, s.opts.Metrics)
}
