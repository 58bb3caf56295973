package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const deadlyRequest = requestPrefix + "deadly"

// TestRequestBeforeParts guards against refusing sound requests that share a part with one
// which crashes endpoints, and against not blocking that one since its parts are answered.
func TestRequestBeforeParts(t *testing.T) {
	type event struct {
		at    time.Duration
		crash int // number of the endpoint, 0 if the request was answered
		parts []string
	}
	const second = time.Second
	for _, tc := range []struct {
		name    string
		events  []event
		check   time.Duration
		blocked []string
		free    []string
	}{
		{
			name: "its parts are shared and answered",
			events: []event{
				{at: 1 * second, crash: 1, parts: []string{"first", "second", deadlyRequest}},
				{at: 2 * second, parts: []string{"first", "second", requestPrefix + "a"}},
				{at: 3 * second, crash: 2, parts: []string{"first", "second", deadlyRequest}},
				{at: 4 * second, parts: []string{"first", requestPrefix + "b"}},
				{at: 5 * second, crash: 3, parts: []string{"first", "second", deadlyRequest}},
			},
			check:   5 * second,
			blocked: []string{deadlyRequest},
			free:    []string{"first", "second", requestPrefix + "a"},
		},
		{
			name: "its parts were never answered",
			events: []event{
				{at: 1 * second, crash: 1, parts: []string{"first", deadlyRequest}},
				{at: 2 * second, crash: 2, parts: []string{"first", deadlyRequest}},
				{at: 3 * second, crash: 3, parts: []string{"first", deadlyRequest}},
			},
			check:   3 * second,
			blocked: []string{deadlyRequest},
			free:    []string{"first"},
		},
		{
			name: "two crashes, during the time to object",
			events: []event{
				{at: 1 * second, crash: 1, parts: []string{"first", deadlyRequest}},
				{at: 2 * second, crash: 2, parts: []string{"first", deadlyRequest}},
			},
			check: 2*second + objectionTime/2,
			free:  []string{"first", deadlyRequest},
		},
		{
			name: "two crashes, after the time to object",
			events: []event{
				{at: 1 * second, crash: 1, parts: []string{"first", deadlyRequest}},
				{at: 2 * second, crash: 2, parts: []string{"first", deadlyRequest}},
			},
			check:   2*second + objectionTime,
			blocked: []string{deadlyRequest},
			free:    []string{"first"},
		},
		{
			name: "a part crashes engines, whatever the request",
			events: []event{
				{at: 1 * second, crash: 1, parts: []string{"deadly", requestPrefix + "a"}},
				{at: 2 * second, crash: 2, parts: []string{"deadly", requestPrefix + "b"}},
				{at: 3 * second, crash: 3, parts: []string{"deadly", requestPrefix + "c"}},
			},
			check:   3 * second,
			blocked: []string{"deadly"},
			free:    []string{requestPrefix + "a"},
		},
		{
			name: "a popular sound request beside it, answered before",
			events: []event{
				{at: 0, parts: []string{requestPrefix + "popular"}},
				{at: 1 * second, crash: 1, parts: []string{requestPrefix + "popular"}},
				{at: 1 * second, crash: 1, parts: []string{deadlyRequest}},
				{at: 2 * second, crash: 2, parts: []string{requestPrefix + "popular"}},
				{at: 2 * second, crash: 2, parts: []string{deadlyRequest}},
				{at: 3 * second, crash: 3, parts: []string{requestPrefix + "popular"}},
				{at: 3 * second, crash: 3, parts: []string{deadlyRequest}},
			},
			check:   3 * second,
			blocked: []string{deadlyRequest},
			free:    []string{requestPrefix + "popular"},
		},
		{
			name: "a sound request beside it that is answered in between",
			events: []event{
				{at: 1 * second, crash: 1, parts: []string{requestPrefix + "popular"}},
				{at: 1 * second, crash: 1, parts: []string{deadlyRequest}},
				{at: 2 * second, crash: 2, parts: []string{requestPrefix + "popular"}},
				{at: 2 * second, crash: 2, parts: []string{deadlyRequest}},
				{at: 2*second + objectionTime/2, parts: []string{requestPrefix + "popular"}},
				{at: 4 * second, crash: 3, parts: []string{requestPrefix + "popular"}},
				{at: 4 * second, crash: 3, parts: []string{deadlyRequest}},
			},
			check:   4 * second,
			blocked: []string{deadlyRequest},
			free:    []string{requestPrefix + "popular"},
		},
		{
			name: "two deadly requests at once",
			events: []event{
				{at: 1 * second, crash: 1, parts: []string{deadlyRequest}},
				{at: 1 * second, crash: 1, parts: []string{requestPrefix + "other"}},
				{at: 2 * second, crash: 2, parts: []string{deadlyRequest}},
				{at: 2 * second, crash: 2, parts: []string{requestPrefix + "other"}},
				{at: 3 * second, crash: 3, parts: []string{deadlyRequest}},
				{at: 3 * second, crash: 3, parts: []string{requestPrefix + "other"}},
			},
			check:   3 * second,
			blocked: []string{deadlyRequest, requestPrefix + "other"},
		},
		{
			name: "endpoints that lose power together",
			events: []event{
				{at: second, crash: 1, parts: []string{requestPrefix + "popular"}},
				{at: second + 5*time.Millisecond, crash: 2, parts: []string{requestPrefix + "popular"}},
				{at: second + 9*time.Millisecond, crash: 3, parts: []string{requestPrefix + "popular"}},
			},
			check: 3 * second,
			free:  []string{requestPrefix + "popular"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := newTestTracker()
			for _, e := range tc.events {
				at := testStart.Add(e.at)
				if e.crash == 0 {
					tracker.RecordServed(at, e.parts)
				} else {
					tracker.RecordCrash(at, engine(e.crash), "r", e.parts)
				}
			}
			now := testStart.Add(tc.check)
			for _, part := range tc.blocked {
				if !isBlocked(tracker, now, part) {
					t.Errorf("%s is not blocked", part)
				}
			}
			for _, part := range tc.free {
				if isBlocked(tracker, now, part) {
					t.Errorf("%s is blocked", part)
				}
			}
		})
	}
}

// TestRequestTests guards against tests of a deadly request that go on for the whole day, each
// of which crashes an endpoint, and against evidence that is forgotten while it still comes.
func TestRequestTests(t *testing.T) {
	tracker := newTestTracker()
	now := testStart
	crashed := 0
	crash := func() {
		crashed++
		tracker.RecordCrash(now, engine(crashed), "r", []string{deadlyRequest})
	}
	for range crashesToBlock {
		crash()
		now = now.Add(time.Second)
	}
	for end := testStart.Add(24 * time.Hour); now.Before(end); now = now.Add(20 * time.Second) {
		_, blocked, test := tracker.Check(now, []string{deadlyRequest}, true)
		switch {
		case test:
			crash()
		case !blocked:
			t.Fatalf("not blocked after %v", now.Sub(testStart))
		}
	}
	if tests := crashed - crashesToBlock; tests != maxRequestTests {
		t.Errorf("tested %d times, want %d", tests, maxRequestTests)
	}
}

// TestSoundRequestIsFreed guards against a sound request that stays blocked by mistake.
func TestSoundRequestIsFreed(t *testing.T) {
	tracker := newTestTracker()
	for i := range crashesToBlock {
		tracker.RecordCrash(testStart.Add(time.Duration(i)*time.Second), engine(i), "r", []string{deadlyRequest})
	}
	now := testStart.Add(2*time.Second + minBlock)
	if _, _, test := tracker.Check(now, []string{deadlyRequest}, true); !test {
		t.Fatal("not tested after the time")
	}
	tracker.RecordServed(now, []string{deadlyRequest})
	if isBlocked(tracker, now, deadlyRequest) {
		t.Error("blocked after an answer")
	}
}

// TestRequestsKeepApart guards against requests that all differ and push out what is known of
// parts of prompts.
func TestRequestsKeepApart(t *testing.T) {
	tracker := newTestTracker()
	tracker.RecordServed(testStart, []string{"first"})
	for i := range 3 * maxServed {
		tracker.RecordServed(testStart.Add(time.Duration(i)*time.Millisecond), []string{RequestPart(fmt.Sprint(i))})
	}
	if !tracker.AllServed([]string{"first"}) {
		t.Error("the answer to a part was forgotten")
	}
	if n := len(tracker.servedRequests); n > maxServed {
		t.Errorf("%d answers to requests are kept", n)
	}
}

// TestDeadlyRequestsAmongSound plays a fleet under two deadly requests, with seeds: sound
// requests, some of them popular, stand on the engines that crash. It guards against more than
// three runs of a deadly request later than a second after its third crash, and against sound
// requests that are refused.
func TestDeadlyRequestsAmongSound(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 41))
		nodes := make([]*Tracker, 5)
		for i := range nodes {
			nodes[i] = newTestTracker()
		}
		now := testStart
		lastShared := now
		crashes := map[string][]time.Time{}
		late := map[string]int{}
		refused, sound, engines := 0, 0, 0
		for step := range 6000 {
			now = now.Add(5 * time.Millisecond)
			if now.Sub(lastShared) > 400*time.Millisecond {
				lastShared = now
				for _, a := range nodes {
					for _, b := range nodes {
						if a != b {
							b.Merge(now, a.Share(now))
							a.Merge(now, b.Objections(now, a.Share(now)))
						}
					}
				}
			}
			node := nodes[random.IntN(len(nodes))]
			part := RequestPart(fmt.Sprint("sound", step))
			isDeadly := false
			switch n := random.IntN(100); {
			case n < 40:
				part = RequestPart(fmt.Sprint("popular", random.IntN(10)))
			case n < 46:
				part, isDeadly = RequestPart(fmt.Sprint("deadly", random.IntN(2))), true
			}
			parts := []string{fmt.Sprint("shared", random.IntN(3)), part}
			if _, blocked, _ := node.Check(now, parts, false); blocked {
				if !isDeadly {
					refused++
				}
				continue
			}
			if !isDeadly {
				sound++
				node.RecordServed(now, parts)
				continue
			}
			engines++
			if list := crashes[part]; len(list) >= 3 && now.Sub(list[2]) > time.Second {
				late[part]++
			}
			crashes[part] = append(crashes[part], now)
			node.RecordCrash(now, engine(engines), "r", parts)
			for range 5 {
				beside := []string{fmt.Sprint("shared", random.IntN(3)), RequestPart(fmt.Sprint("beside", step, random.IntN(1000)))}
				if random.IntN(2) == 0 {
					beside[1] = RequestPart(fmt.Sprint("popular", random.IntN(10)))
				}
				nodes[random.IntN(len(nodes))].RecordCrash(now, engine(engines), "r", beside)
			}
		}
		for part, n := range late {
			if n > 3 {
				t.Errorf("seed %d: %s ran %d times later than a second after its third crash", seed, part, n)
			}
		}
		if refused*100 > sound {
			t.Errorf("seed %d: %d of %d sound requests were refused", seed, refused, sound+refused)
		}
	}
}
