// Package reply writes the HTTP responses of simulated servers in their common
// format.
package reply

import (
	"encoding/json"
	"net/http"
	"strings"
)

// RequestID is the request header that each response repeats.
const RequestID = "X-Request-Id"

// Failure is the body of an error response.
type Failure struct {
	Error Detail `json:"error"`
}

// Detail describes an error by a code for programs and a message for people.
type Detail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// NotRun means that the request had no effect.
	NotRun bool `json:"not-run"`
}

// JSON writes a response with the status and v as its JSON body.
func JSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Write fails if the client has disconnected, so there is no one to answer.
	_, _ = w.Write(body)
}

// Refuse writes an error response for a request that was not executed.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, Failure{
		Error: Detail{
			Code:    code,
			Message: message,
			NotRun:  true,
		},
	})
}

// CarriesKey reports whether a header has a field that may contain a caller's key:
// a known field for keys, or any field with a bearer token.
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
