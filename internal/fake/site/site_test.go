package site

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func call(t *testing.T, h http.Handler, method, target, body string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// TestStoreTransactions guards against writes whose conditions do not hold or
// that target a table of the operator.
func TestStoreTransactions(t *testing.T) {
	s, release := NewStore(StoreOptions{})
	defer release()
	h := s.Handler("a")
	for _, tc := range []struct {
		name, body string
		want       int
	}{
		{name: "a row that is absent", body: `{"expected":[{"table":"t","part":"","key":"k","ver":0}],"put":[{"table":"t","part":"","key":"k","value":"eA=="}],"delete":[]}`, want: 200},
		{name: "the same again", body: `{"expected":[{"table":"t","part":"","key":"k","ver":0}],"put":[{"table":"t","part":"","key":"k","value":"eQ=="}],"delete":[]}`, want: 412},
		{name: "the version that it has", body: `{"expected":[{"table":"t","part":"","key":"k","ver":1}],"put":[{"table":"t","part":"","key":"k","value":"eQ=="}]}`, want: 200},
		{name: "a table of the operator", body: `{"put":[{"table":"op","part":"","key":"config","value":""}]}`, want: 403},
		{name: "two parts", body: `{"put":[{"table":"t","part":"a","key":"k"},{"table":"t","part":"b","key":"k"}]}`, want: 400},
		{name: "two parts across", body: `{"across":true,"put":[{"table":"t","part":"a","key":"k"},{"table":"t","part":"b","key":"k"}]}`, want: 200},
		{name: "no JSON", body: `{`, want: 400},
	} {
		if status, body := call(t, h, "POST", "/rows-tx", tc.body); status != tc.want {
			t.Errorf("%s: status %d (%s), want %d", tc.name, status, body, tc.want)
		}
	}
	_, body := call(t, h, "GET", "/rows-get?table=t&part=&from=k", "")
	var page wirePage
	if err := json.Unmarshal([]byte(body), &page); err != nil || len(page.Rows) != 1 || !bytes.Equal(page.Rows[0].Value, []byte("y")) || page.Version != 3 {
		t.Errorf("the rows are %s (%v)", body, err)
	}
}

// TestStoreFeed guards against a feed that misses a change, omits a deleted row,
// or answers as if it were complete after the history was discarded.
func TestStoreFeed(t *testing.T) {
	s, release := NewStore(StoreOptions{})
	defer release()
	h := s.Handler("a")
	s.PutRow("t", "k", []byte("1"))
	go func() {
		time.Sleep(20 * time.Millisecond)
		s.DeleteRow("t", "k")
	}()
	status, body := call(t, h, "GET", "/rows-feed?table=t&after=1&wait_ms=2000", "")
	if status != 200 || !strings.Contains(body, `"deleted":true`) || !strings.Contains(body, `"ver":2`) {
		t.Errorf("after the first change: %d %s", status, body)
	}
	s.DiscardHistory()
	if status, _ := call(t, h, "GET", "/rows-feed?table=t&after=1&wait_ms=0", ""); status != http.StatusGone {
		t.Errorf("a feed from a discarded version got status %d", status)
	}
	if status, _ := call(t, h, "GET", "/rows-feed?table=t&after=2&wait_ms=0", ""); status != http.StatusOK {
		t.Errorf("a feed from the newest version got status %d", status)
	}
}

// TestStoreOutage guards against a client's fault affecting other clients, and a
// fault for all clients that leaves one out.
func TestStoreOutage(t *testing.T) {
	s, release := NewStore(StoreOptions{})
	defer release()
	s.SetFaults("a", StoreFaults{Outage: Busy})
	if status, _ := call(t, s.Handler("a"), "GET", "/rows-get?table=t", ""); status != http.StatusServiceUnavailable {
		t.Errorf("the client with the outage got status %d", status)
	}
	if status, _ := call(t, s.Handler("b"), "GET", "/rows-get?table=t", ""); status != http.StatusOK {
		t.Errorf("another client got status %d", status)
	}
	s.SetFaults("", StoreFaults{Outage: RateLimited})
	if status, _ := call(t, s.Handler("b"), "GET", "/rows-get?table=t", ""); status != http.StatusTooManyRequests {
		t.Errorf("during an outage for all clients, one got status %d", status)
	}
}

// TestObjects guards against overwriting an object in spite of If-None-Match.
func TestObjects(t *testing.T) {
	s, release := NewStore(StoreOptions{})
	defer release()
	h := s.Handler("a")
	call(t, h, "PUT", "/blob-put/x", "one")
	r := httptest.NewRequest("PUT", "/blob-put/x", strings.NewReader("two"))
	r.Header.Set("If-None-Match", "*")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code != http.StatusPreconditionFailed {
		t.Errorf("an object that exists was overwritten: %d", w.Code)
	}
	if _, body := call(t, h, "GET", "/blob-get/x", ""); body != "one" {
		t.Errorf("the object is %q", body)
	}
	if _, body := call(t, h, "GET", "/blob-list?prefix=", ""); !strings.Contains(body, `"x"`) {
		t.Errorf("the list is %s", body)
	}
	call(t, h, "DELETE", "/blob-drop/x", "")
	if status, _ := call(t, h, "GET", "/blob-get/x", ""); status != http.StatusNotFound {
		t.Errorf("a deleted object got status %d", status)
	}
}

func startEndpoint(t *testing.T) (*Site, *Endpoint, string) {
	t.Helper()
	address := ""
	s, release, err := Start(Layout{
		Config:            SampleConfig(),
		Domains:           []string{"north"},
		Endpoints:         map[string]int{"assistant": 1},
		EventInterval:     time.Millisecond,
		HeartbeatInterval: 20 * time.Millisecond,
		AdvertisedAddress: func(_, a string) (string, error) {
			address = a
			return a, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return s, s.Endpoints[0], address
}

func order(t *testing.T, address, body string) int {
	t.Helper()
	res, err := http.Post("http://"+address+"/order", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	return res.StatusCode
}

// TestOrders guards against an engine that accepts orders which do not match its
// state, or that does not record overcommitted memory as a violation.
func TestOrders(t *testing.T) {
	s, e, address := startEndpoint(t)
	for _, tc := range []struct {
		name, body string
		want       int
	}{
		{name: "no holder", body: `{"op":"load","model":"season","fence":1}`, want: 400},
		{name: "another number of orders", body: `{"op":"load","model":"season","fence":1,"holder":"a","expected":4}`, want: 409},
		{name: "a model that does not exist", body: `{"op":"load","model":"none","fence":1,"holder":"a","expected":0}`, want: 400},
		{name: "a resident model", body: `{"op":"load","model":"rules","fence":1,"holder":"a"}`, want: 200},
		{name: "an adapter", body: `{"op":"load","model":"rules","adapter":"a1","fence":1,"holder":"a","expected":0}`, want: 202},
		{name: "a load", body: `{"op":"load","model":"season","fence":1,"holder":"a","expected":1}`, want: 202},
		{name: "an unload during the load", body: `{"op":"unload","model":"rules","fence":1,"holder":"a","expected":2}`, want: 409},
	} {
		if got := order(t, address, tc.body); got != tc.want {
			t.Errorf("%s: status %d, want %d", tc.name, got, tc.want)
		}
	}
	if len(s.Journal.Violations()) > 0 {
		t.Errorf("valid orders were recorded as violations: %q", s.Journal.Violations())
	}
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		e.mu.Lock()
		busy := e.orderRunning
		e.mu.Unlock()
		if !busy {
			break
		}
	}
	if got := order(t, address, `{"op":"load","model":"coach","fence":1,"holder":"a","expected":2}`); got != http.StatusAccepted {
		t.Errorf("the load that overcommits memory got status %d", got)
	}
	if len(s.Journal.Violations()) != 1 {
		t.Errorf("violations %q, want one", s.Journal.Violations())
	}
}

// TestRequests guards against answers that do not identify their request, so that
// a test could not detect one sent to the wrong caller, against a resumed stream
// that repeats events, and against an unrecorded key or execution.
func TestRequests(t *testing.T) {
	s, _, address := startEndpoint(t)
	get := func(a CallerRequest) (int, string) {
		a.Address, a.Method, a.Path = address, http.MethodPost, "/notes/1"
		r, err := a.Request()
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, string(body)
	}
	if status, body := get(CallerRequest{ID: "r1", Model: "rules", PromptTokens: 10, OutputTokens: 20}); status != 200 || body != Event("r1", 1)+Event("r1", 2)+Event("r1", 3) {
		t.Errorf("the answer is %d %q", status, body)
	}
	if status, body := get(CallerRequest{ID: "r2", Model: "rules", PromptTokens: 10, OutputTokens: 20, LastEventID: "2"}); status != 200 || body != Event("r2", 3) {
		t.Errorf("the answer to a resumed stream is %d %q", status, body)
	}
	if status, _ := get(CallerRequest{ID: "r3", Model: "coach", PromptTokens: 10, OutputTokens: 20}); status != http.StatusMisdirectedRequest {
		t.Errorf("a request for a model that is not resident got status %d", status)
	}
	get(CallerRequest{ID: "r4", Model: "rules", PromptTokens: 1, OutputTokens: 1, Key: "k"})
	if len(s.Journal.Violations()) != 1 || s.Journal.ExecutionCount("r1") != 1 || s.Journal.ExecutionCount("r3") != 0 {
		t.Errorf("the journal has %q, runs %d and %d", s.Journal.Violations(), s.Journal.ExecutionCount("r1"), s.Journal.ExecutionCount("r3"))
	}
}

// TestEntryExpires guards against an entry that stays after its endpoint has
// crashed, or that is not written again after a restart.
func TestEntryExpires(t *testing.T) {
	s, e, _ := startEndpoint(t)
	registered := func() bool {
		_, body := call(t, s.Store.Handler("a"), "GET", "/rows-get?table=servers", "")
		return strings.Contains(body, "i-assistant-1")
	}
	if !registered() {
		t.Fatal("the endpoint did not register")
	}
	e.Crash()
	// A loaded machine may run the removal late, but it has to come, and to last.
	for until := time.Now().Add(5 * time.Second); registered(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the entry of a dead endpoint is still there")
		}
	}
	time.Sleep(200 * time.Millisecond)
	if registered() {
		t.Error("the entry of a dead endpoint is back")
	}
	e.Restart()
	if !registered() {
		t.Error("the endpoint did not register again")
	}
}

// TestRestore guards against a stand-in that, restored from a copy, keeps what was written
// since, does not give out versions again, serves a feed from a version it does not have,
// sends an answer without its era, or does not write again what the operator wrote.
func TestRestore(t *testing.T) {
	s, release := NewStore(StoreOptions{})
	t.Cleanup(release)
	h := s.Handler("a")
	put := func(key, version string) (int, string) {
		return call(t, h, "POST", "/rows-tx", `{"expected":[{"table":"own","key":"`+key+`","ver":`+version+`}],"put":[{"table":"own","key":"`+key+`","value":"eA=="}],"delete":[]}`)
	}
	if status, _ := put("old", "0"); status != http.StatusOK {
		t.Fatalf("the first write got %d", status)
	}
	s.PutRow("op", "config", []byte("1"))
	copied := time.Now()
	put("new", "0")
	s.PutRow("op", "config", []byte("2"))
	waiting := make(chan int, 1)
	go func() {
		status, _ := call(t, h, "GET", "/rows-feed?table=own&after=4&wait_ms=2000", "")
		waiting <- status
	}()
	time.Sleep(20 * time.Millisecond)
	s.Restore(time.Since(copied), 100*time.Millisecond)
	select {
	case status := <-waiting:
		if status != http.StatusGone {
			t.Errorf("the feed that waited through the restore got %d", status)
		}
	case <-time.After(time.Second):
		t.Error("the feed still waits")
	}
	if _, body := call(t, h, "GET", "/rows-get?table=own", ""); strings.Contains(body, "new") || !strings.Contains(body, "old") {
		t.Errorf("the rows are %s", body)
	}
	if _, body := call(t, h, "GET", "/rows-get?table=op", ""); !strings.Contains(body, `"ver":2`) {
		t.Errorf("the operator's row is not the one of the copy: %s", body)
	}
	if _, body := put("other", "0"); !strings.Contains(body, `"ver":3`) {
		t.Errorf("the version of the first write after the restore is not the copy's and 1: %s", body)
	}
	for _, path := range []string{"/rows-get?table=op", "/rows-get?limit=x", "/rows-feed?table=op&after=999"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		if w.Header().Get(headerEra) != "1" {
			t.Errorf("%s: status %d in era %q", path, w.Code, w.Header().Get(headerEra))
		}
	}
	s.SetFaults("", StoreFaults{Outage: Busy})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/rows-get?table=op", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(headerEra) != "1" {
		t.Errorf("a refusal has status %d and era %q", w.Code, w.Header().Get(headerEra))
	}
	s.SetFaults("", StoreFaults{})
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, body := call(t, h, "GET", "/rows-get?table=op", ""); strings.Contains(body, `"value":"Mg=="`) {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the operator's lost row is not written again")
		}
	}
}
