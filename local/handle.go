package local

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

// handle answers one message of the server.
func (l *Monitor) handle(ctx *fasthttp.RequestCtx) {
	var err error
	switch path := string(ctx.Path()); {
	case !ctx.IsPost():
		answer(ctx, fasthttp.StatusMethodNotAllowed, ErrorResponse{Error: "method must be POST"})
		return
	case path == PathAnnounce:
		err = take(ctx, l.announce)
	case path == PathReady:
		err = take(ctx, func(m Ready) error {
			return l.update(m.Incarnation, func() { l.said.Ready = m.Ready })
		})
	case path == PathDrain:
		err = take(ctx, func(m Drain) error {
			return l.update(m.Incarnation, func() { l.said.Draining = m.Draining })
		})
	case path == PathLoad:
		err = take(ctx, func(m LoadReport) error {
			return l.update(m.Incarnation, func() { l.report, l.at = m, time.Now() })
		})
	default:
		answer(ctx, fasthttp.StatusNotFound, ErrorResponse{Error: "no such path"})
		return
	}
	if err != nil {
		answer(ctx, statusOf(err), ErrorResponse{Error: err.Error()})
		return
	}
	e, _ := l.Endpoint()
	answer(ctx, fasthttp.StatusOK, e)
}

func take[T pollenlatch.Endpoint | Ready | Drain | LoadReport](ctx *fasthttp.RequestCtx, f func(T) error) error {
	var m T
	if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
		return err
	}
	return f(m)
}

// statusOf returns 409 where the server must announce itself again or stop,
// and 400 for malformed messages.
func statusOf(err error) int {
	if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrWrongIncarnation) || errors.Is(err, ErrNoServer) || errors.Is(err, ErrWrongService) {
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusBadRequest
}

func answer(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(b)
}
