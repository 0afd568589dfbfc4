package local

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

// handle handles one message from the server.
func (m *Monitor) handle(ctx *fasthttp.RequestCtx) {
	var err error
	switch path := string(ctx.Path()); {
	case !ctx.IsPost():
		respond(ctx, fasthttp.StatusMethodNotAllowed, ErrorResponse{Error: "method must be POST"})
		return
	case path == PathAnnounce:
		err = applyMessage(ctx, m.announce)
	case path == PathReady:
		err = applyMessage(ctx, func(msg Ready) error {
			return m.update(msg.Incarnation, func() { m.endpoint.Ready = msg.Ready })
		})
	case path == PathDrain:
		err = applyMessage(ctx, func(msg Drain) error {
			return m.update(msg.Incarnation, func() { m.endpoint.Draining = msg.Draining })
		})
	case path == PathLoad:
		err = applyMessage(ctx, func(msg LoadReport) error {
			return m.update(msg.Incarnation, func() { m.report, m.reportedAt = msg, time.Now() })
		})
	default:
		respond(ctx, fasthttp.StatusNotFound, ErrorResponse{Error: "no such path"})
		return
	}
	if err != nil {
		respond(ctx, statusOf(err), ErrorResponse{Error: err.Error()})
		return
	}
	e, _ := m.Endpoint()
	respond(ctx, fasthttp.StatusOK, e)
}

// applyMessage decodes a message and passes it to apply.
func applyMessage[T pollenlatch.Endpoint | Ready | Drain | LoadReport](ctx *fasthttp.RequestCtx, apply func(T) error) error {
	var msg T
	if err := json.Unmarshal(ctx.PostBody(), &msg); err != nil {
		return err
	}
	return apply(msg)
}

// statusOf returns the response status for an error: 409 when the server must
// announce itself again or stop, and 400 for a malformed message.
func statusOf(err error) int {
	if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrWrongIncarnation) || errors.Is(err, ErrNoServer) || errors.Is(err, ErrWrongService) {
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusBadRequest
}

func respond(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(b)
}
