// Package oper implements the HTTP admin API of a node. Package admin is its
// client.
package oper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"trefoildale.example/trefoildale/internal/feed"
	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

// ConfigSource provides the node's current configuration.
type ConfigSource interface {
	Config() *spec.Config
}

// Appender adds a change to the configuration log. Append returns after the
// node's view includes everything that Append read and feed.Replication has
// finished. If that takes more than 2 s, it returns with Unreplicated set. Once
// there is a configuration, a node whose domain is not part of it must not
// append: other domains do not wait for reports from that domain before they
// consider their views current. The errors are those of feed.Log.Append; any
// other error is reported as an unknown outcome.
type Appender interface {
	Append(ctx context.Context, c spec.Change) (feed.Appended, error)
}

// StatusSource provides the state of the node and of the fleet as the node sees
// it.
type StatusSource interface {
	Status(ctx context.Context) (admin.Status, error)
}

// Explainer describes what happened and why, in sentences for operators.
type Explainer interface {
	Explain(ctx context.Context, q admin.Query) (sentences []string, err error)
}

// maxBody limits the size of a change in bytes. The first change can contain a
// whole configuration, less than 1 MB at the design size.
const maxBody = 16 << 20

type handler struct {
	config  ConfigSource
	append  Appender
	status  StatusSource
	explain Explainer
}

// NewHandler returns the handler for all paths under /admin/.
func NewHandler(config ConfigSource, appender Appender, status StatusSource, explainer Explainer) http.Handler {
	h := &handler{config: config, append: appender, status: status, explain: explainer}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/config", h.getConfig)
	mux.HandleFunc("POST /admin/changes", h.postChange)
	mux.HandleFunc("GET /admin/status", h.getStatus)
	mux.HandleFunc("GET /admin/explain", h.getExplain)
	mux.HandleFunc("/admin/", func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusNotFound, admin.Problem{Code: admin.CodeNotFound, Message: "no " + r.Method + " " + r.URL.Path})
	})
	return mux
}

func (h *handler) getConfig(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, h.config.Config())
}

func (h *handler) postChange(w http.ResponseWriter, r *http.Request) {
	var c spec.Change
	if err := decode(w, r, &c); err != nil {
		fail(w, http.StatusBadRequest, admin.Problem{Code: admin.CodeInvalid, Message: err.Error(), OpID: c.OpID})
		return
	}
	applied, err := h.append.Append(r.Context(), c)
	if err == nil {
		reply(w, http.StatusOK, admin.Applied{Revision: applied.Revision, Repeated: applied.Duplicate, Unspread: applied.Unreplicated, OpID: c.OpID})
		return
	}
	status, p := problemOf(err)
	p.OpID = c.OpID
	fail(w, status, p)
}

func problemOf(err error) (int, admin.Problem) {
	p := admin.Problem{Message: err.Error()}
	var refused *feed.InvalidChange
	var conflict *feed.Conflict
	var unavailable *feed.Unavailable
	switch {
	case errors.As(err, &refused):
		p.Code, p.Findings = admin.CodeRefused, refused.Findings
		return http.StatusUnprocessableEntity, p
	case errors.As(err, &conflict):
		p.Code, p.Revision = admin.CodeConflict, conflict.Revision
		return http.StatusConflict, p
	case errors.As(err, &unavailable):
		p.Code = admin.CodeUnavailable
		return http.StatusServiceUnavailable, p
	}
	p.Code = admin.CodeUnknown
	return http.StatusGatewayTimeout, p
}

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	s, err := h.status.Status(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, admin.Problem{Code: admin.CodeUnavailable, Message: err.Error()})
		return
	}
	reply(w, http.StatusOK, s)
}

func (h *handler) getExplain(w http.ResponseWriter, r *http.Request) {
	q, err := queryOf(r.URL.Query())
	if err != nil {
		fail(w, http.StatusBadRequest, admin.Problem{Code: admin.CodeInvalid, Message: err.Error()})
		return
	}
	sentences, err := h.explain.Explain(r.Context(), q)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, admin.Problem{Code: admin.CodeUnavailable, Message: err.Error()})
		return
	}
	reply(w, http.StatusOK, map[string][]string{"sentences": sentences})
}

func queryOf(v url.Values) (admin.Query, error) {
	q := admin.Query{Request: v.Get("request"), Workspace: v.Get("workspace"), Model: v.Get("model")}
	if last := v.Get("last"); last != "" {
		d, err := time.ParseDuration(last)
		if err != nil || d <= 0 {
			return q, fmt.Errorf("last: %q is not a duration above zero", last)
		}
		q.Last = spec.Duration(d)
	}
	selectors := 0
	for _, set := range []bool{q.Request != "", q.Workspace != "", q.Model != "", q.Last != 0} {
		if set {
			selectors++
		}
	}
	if selectors != 1 {
		return q, errors.New("want exactly one of request, workspace, model and last")
	}
	return q, nil
}

// decode decodes a body with a single JSON value. Unknown fields are errors,
// because a misspelled field would otherwise silently keep its default.
func decode(w http.ResponseWriter, r *http.Request, out any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode body: more than one value")
	}
	return nil
}

func fail(w http.ResponseWriter, status int, p admin.Problem) { reply(w, status, p) }

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"code":"` + admin.CodeInternal + `","message":"the response cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected; there is nobody to
	// report the error to.
	_, _ = w.Write(append(data, '\n'))
}
