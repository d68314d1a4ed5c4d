package host

import (
	"encoding/json"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// Status is the answer of GET /status on the operator port.
type Status struct {
	Host        entity.HostID      `json:"host"`
	Incarnation entity.Incarnation `json:"incarnation"`
	Version     string             `json:"version"`
	Started     time.Time          `json:"started"`
	// State is "starting", "ready" or "stopping", or the reason why the host is not ready: "stale" or "waiting
	// for shares".
	State string `json:"state"`
	// ConfigRevision is the active configuration revision of this host.
	ConfigRevision int64 `json:"config_revision"`
	// FailedRevision is the last configuration revision that this host could not activate, zero if there has
	// been none.
	FailedRevision int64 `json:"failed_revision,omitempty"`
	// ViewRevision is the revision of the key-value service up to which this host has received changes.
	// ViewAgeMillis is the time since this revision was confirmed to be the newest; -1 means never.
	ViewRevision  int64 `json:"view_revision"`
	ViewAgeMillis int64 `json:"view_age_ms"`
	// Fresh is set if the view is recent enough to show which keys are withdrawn.
	Fresh bool `json:"fresh"`
	// ServiceReachable is set if this host can reach the key-value service.
	ServiceReachable bool           `json:"service_reachable"`
	ActiveRequests   int64          `json:"active_requests"`
	Control          control.Status `json:"control"`
}

// operatorTimeout limits the time that the operator port takes to read a request.
const operatorTimeout = 10 * time.Second

// newOperatorServer returns the server for metrics, health, status and profiles on the operator port.
func newOperatorServer(h *Host) *fasthttp.Server {
	r := router.New()
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(h.metrics.Handler()))
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", h.serveReady)
	r.GET("/status", h.serveStatus)
	r.GET("/debug/pprof/{name:*}", pprofhandler.PprofHandler)
	return &fasthttp.Server{
		Handler:               r.Handler,
		Name:                  "foxtailpass operator",
		NoDefaultServerHeader: true,
		ReadTimeout:           operatorTimeout,
	}
}

// serveReady answers the load balancer with status 200 if it should send callers to this host, and 503 otherwise.
func (h *Host) serveReady(ctx *fasthttp.RequestCtx) {
	ok, reason := h.Ready()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(reason + "\n")
}

func (h *Host) serveStatus(ctx *fasthttp.RequestCtx) {
	body, err := json.MarshalIndent(h.Status(), "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
