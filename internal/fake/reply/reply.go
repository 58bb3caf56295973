// Package reply holds what the answers of all stand-ins have in common.
package reply

import (
	"encoding/json"
	"net/http"
	"strings"
)

// RequestID is the header whose value each answer echoes.
const RequestID = "X-Request-Id"

// Failure is the body of an answer that reports an error.
type Failure struct {
	Error Detail `json:"error"`
}

// Detail describes an error.
type Detail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// NotRun states that the request had no effect.
	NotRun bool `json:"not-run"`
}

// JSON writes v with the status.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client left; there is nobody to tell.
	_, _ = w.Write(body)
}

// Refuse writes an error for a request that had no effect.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, Failure{
		Error: Detail{
			Code:    code,
			Message: message,
			NotRun:  true,
		},
	})
}

// CarriesKey reports whether a header can contain a caller's key.
func CarriesKey(h http.Header) bool {
	for name, values := range h {
		switch name {
		case "Authorization", "Proxy-Authorization", "X-Api-Key":
			return true
		}
		for _, v := range values {
			if len(v) >= 7 && strings.EqualFold(v[:7], "bearer ") {
				return true
			}
		}
	}
	return false
}
