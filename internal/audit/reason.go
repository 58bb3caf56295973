// Package audit keeps a bounded record of the decisions of a node and their
// reasons, and explains each decision in plain sentences.
package audit

import "fmt"

// Kind groups the reasons.
type Kind uint8

// The kinds of event.
const (
	KindRefusal Kind = iota + 1
	KindFailure
	KindRetry
	KindMove
	KindEjection
	KindLease
	KindKey
	KindConfig
	KindMember
	KindShutdown
)

var kindNames = map[Kind]string{
	KindRefusal:  "refusal",
	KindFailure:  "failure",
	KindRetry:    "retry",
	KindMove:     "move",
	KindEjection: "ejection",
	KindLease:    "lease",
	KindKey:      "key",
	KindConfig:   "config",
	KindMember:   "member",
	KindShutdown: "shutdown",
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if s, ok := kindNames[k]; ok {
		return s
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Cause is the party responsible for a request that was not served.
type Cause uint8

// The causes.
const (
	// CauseSystem is a fault or a lack of capacity on the operators' side.
	CauseSystem Cause = iota + 1
	// CauseAllowance is a workspace that exceeded its rate and burst.
	CauseAllowance
	// CauseCaller is an error in the request, or a caller that disconnected.
	CauseCaller
)

// Reason is the reason for a decision. The numbers are part of the wire format:
// add new reasons at the end of the list.
type Reason uint16

// The reasons.
const (
	ReasonNone Reason = iota
	NoKey
	KeyUnknown
	KeyWithdrawn
	KeyUnverifiable
	OverRate
	OverBurst
	RateUnreachable
	ServiceUnknown
	ModelUnknown
	MethodUnknown
	BodyTooLarge
	ContextTooLong
	BadRequest
	NoEndpoint
	ModelLoading
	QueueFull
	DeadlinePassed
	RepeatInProgress
	RepeatUnknown
	RepeatDifferent
	RepeatUnprovable
	NotReady
	ShuttingDown
	OutcomeUnknown
	EndpointFailed
	ResponseMismatched
	StreamBroken
	StreamKeyWithdrawn
	SlowClient
	CallerGone
	RetryNotSent
	RetryDeclined
	RetryAfterLoss
	StreamResumed
	RetryForbidden
	RetryBudgetSpent
	RetryTooLate
	MoveDemand
	MoveCoverage
	MoveOnDemand
	MoveUnloaded
	MoveFailed
	MoveOutranked
	AdapterLoaded
	AdapterEvicted
	RoleChanged
	EjectedFailures
	EndpointReturned
	EndpointLeaving
	LeaseTaken
	LeaseLost
	LeaseGivenBack
	SlotsTaken
	SlotsLost
	SlotsGivenBack
	KeyAdded
	KeyRemoved
	ConfigApplied
	ConfigConflict
	ConfigInvalid
	MemberJoined
	MemberSilent
	MemberDead
	DomainUnreachable
	DomainBack
	PlatformDown
	PlatformBack
	ShutdownStarted
	ShutdownDone
	ShutdownCut
	InternalError
	ConfigBehind
	BodiesFull
	BodyLate
	numReasons
)

// reason describes a Reason. In a sentence, {name} is replaced by a field of the
// event, and a part in brackets is omitted if one of its fields is unset.
type reason struct {
	name     string
	kind     Kind
	cause    Cause
	sentence string
}

const (
	requestSubject = "[Request {request} ]{of-workspace}"
	notRunNote     = "[ {not-run}]"
	retryHint      = "[ The caller may try again in {retry-after}.]"
)

var reasons = [numReasons]reason{
	NoKey:           {"no-key", KindRefusal, CauseCaller, requestSubject + "was refused because it carried no access key." + notRunNote},
	KeyUnknown:      {"key-unknown", KindRefusal, CauseCaller, requestSubject + "was refused because its access key is not one that we issued." + notRunNote},
	KeyWithdrawn:    {"key-withdrawn", KindRefusal, CauseCaller, requestSubject + "was refused because its access key[ {key}] has been withdrawn." + notRunNote},
	KeyUnverifiable: {"key-unverifiable", KindRefusal, CauseSystem, requestSubject + "was refused because we could not check whether its access key is still valid: we had no fresh news[ for {wait}]." + notRunNote + retryHint},
	ConfigBehind:    {"config-behind", KindRefusal, CauseSystem, requestSubject + "was refused because the settings that this entry point has do not know what it asks for, and newer ones exist that had not arrived." + notRunNote + retryHint},
	OverRate:        {"over-rate", KindRefusal, CauseAllowance, requestSubject + "was refused because the workspace had used up its allowance[: the request needed {wanted} tokens and {available} were left]." + notRunNote + retryHint},
	OverBurst:       {"over-burst", KindRefusal, CauseCaller, requestSubject + "was refused because it is larger than the workspace may send at once[: it needed {wanted} tokens and the most allowed is {limit}]." + notRunNote},
	RateUnreachable: {"rate-unreachable", KindRefusal, CauseSystem, requestSubject + "was refused because the part of the workspace's allowance that we could reach was too small[: the request needed {wanted} tokens and {available} could be used here]. The rest is held at sites that did not answer[ within {wait}]." + notRunNote + retryHint},
	ServiceUnknown:  {"service-unknown", KindRefusal, CauseCaller, requestSubject + "was refused because there is no service at the address that it asked for." + notRunNote},
	ModelUnknown:    {"model-unknown", KindRefusal, CauseCaller, requestSubject + "was refused because there is no model[ named {model}]." + notRunNote},
	MethodUnknown:   {"method-unknown", KindRefusal, CauseCaller, requestSubject + "was refused because the service does not offer this kind of call." + notRunNote},
	BodyTooLarge:    {"body-too-large", KindRefusal, CauseCaller, requestSubject + "was refused because it is too big[: {wanted} bytes, and the most allowed is {limit}]." + notRunNote},
	BodiesFull:      {"bodies-full", KindRefusal, CauseSystem, requestSubject + "was refused because too many large requests were arriving at the same time." + notRunNote + retryHint},
	BodyLate:        {"body-late", KindRefusal, CauseCaller, requestSubject + "was refused because it stopped arriving before its end." + notRunNote},
	ContextTooLong:  {"context-too-long", KindRefusal, CauseCaller, requestSubject + "was refused because its text is too long for the model[ {model}][: {wanted} tokens, and the most it can take is {limit}]." + notRunNote},
	BadRequest:      {"bad-request", KindRefusal, CauseCaller, requestSubject + "was refused because it could not be understood." + notRunNote},
	NoEndpoint:      {"no-endpoint", KindRefusal, CauseSystem, requestSubject + "was refused because no server that could answer it[ with the model {model}] was working[ among {count}]." + notRunNote + retryHint},
	ModelLoading:    {"model-loading", KindRefusal, CauseSystem, requestSubject + "was refused because the model[ {model}] was still being made ready[ after {wait}]." + notRunNote + retryHint},
	QueueFull:       {"queue-full", KindRefusal, CauseSystem, requestSubject + "was refused because too many requests were already waiting[ ({count} of at most {limit})][ for the model {model}]." + notRunNote + retryHint},
	DeadlinePassed:  {"deadline-passed", KindRefusal, CauseSystem, requestSubject + "was given up because its time ran out before an answer could begin[, after {wait}]." + notRunNote},

	RepeatInProgress: {"repeat-in-progress", KindRefusal, CauseCaller, requestSubject + "asked again for something that is still being carried out. This repeat was not carried out a second time; the caller should ask again later for the result."},
	RepeatUnknown:    {"repeat-unknown", KindRefusal, CauseSystem, requestSubject + "asked again for something whose first try[ {other}] ended without a known result. It may have been carried out, so it was not tried a second time. Somebody has to look at the service itself."},
	RepeatDifferent:  {"repeat-different", KindRefusal, CauseCaller, requestSubject + "was refused because it used the same reference as an earlier request[ {other}] but asked for something else." + notRunNote},
	RepeatUnprovable: {"repeat-unprovable", KindRefusal, CauseSystem, requestSubject + "must never be carried out twice, and the record that shows whether it is new could not be reached. It was refused to be safe." + notRunNote + retryHint},

	NotReady:     {"not-ready", KindRefusal, CauseSystem, requestSubject + "was refused because the entry point[ {node}] had just started and did not have its settings yet." + notRunNote + retryHint},
	ShuttingDown: {"shutting-down", KindRefusal, CauseSystem, requestSubject + "was refused because the entry point[ {node}] was being stopped for planned work." + notRunNote + retryHint},

	OutcomeUnknown:     {"outcome-unknown", KindFailure, CauseSystem, requestSubject + "was sent to the server[ {endpoint}], but no answer came back[ within {wait}]. It may or may not have been carried out, so it was not tried again."},
	EndpointFailed:     {"endpoint-failed", KindFailure, CauseSystem, requestSubject + "failed because the server[ {endpoint}] reported a fault[ after {count} tries]." + notRunNote},
	ResponseMismatched: {"response-mismatched", KindFailure, CauseSystem, requestSubject + "got an answer from the server[ {endpoint}] that belonged to another request[ ({other})]. We threw that answer away, so that nobody saw someone else's text."},
	StreamBroken:       {"stream-broken", KindFailure, CauseSystem, requestSubject + "was cut off in the middle of its answer[ after {count} tokens] because the connection to the server[ {endpoint}] broke."},
	StreamKeyWithdrawn: {"stream-key-withdrawn", KindFailure, CauseCaller, requestSubject + "was stopped in the middle of its answer because its access key[ {key}] was withdrawn."},
	SlowClient:         {"slow-client", KindFailure, CauseCaller, requestSubject + "was ended because the caller read the answer too slowly[: nothing was taken for {wait}]."},
	CallerGone:         {"caller-gone", KindFailure, CauseCaller, requestSubject + "was stopped because the caller hung up[ after {wait}]. The work was cancelled."},

	RetryNotSent:     {"retry-not-sent", KindRetry, CauseSystem, requestSubject + "could not be handed to the server[ {endpoint}], so another one[, {other},] was asked. Nothing had been carried out."},
	RetryDeclined:    {"retry-declined", KindRetry, CauseSystem, requestSubject + "was turned away by the server[ {endpoint}] before any work was done, so another one[, {other},] was asked."},
	RetryAfterLoss:   {"retry-after-loss", KindRetry, CauseSystem, requestSubject + "got no answer from the server[ {endpoint}], so another one[, {other},] was asked. This kind of call may safely be repeated."},
	StreamResumed:    {"stream-resumed", KindRetry, CauseSystem, requestSubject + "lost its connection to the server[ {endpoint}] in the middle of an answer, and went on where it had stopped[, after {count} tokens]. No text was lost or doubled."},
	RetryForbidden:   {"retry-forbidden", KindRetry, CauseSystem, requestSubject + "got no answer from the server[ {endpoint}] and was not tried again, because this kind of call must not be carried out twice."},
	RetryBudgetSpent: {"retry-budget-spent", KindRetry, CauseSystem, requestSubject + "was not tried again because too many requests were being tried again at that moment. More of them would have slowed down everybody."},
	RetryTooLate:     {"retry-too-late", KindRetry, CauseSystem, requestSubject + "was not tried again because too little time was left[: {wait}]."},

	MoveDemand:      {"move-demand", KindMove, CauseSystem, "The model[ {model}] was loaded on the server[ {endpoint}] because more people were asking for it[: {wanted} requests a minute, {available} could be handled]."},
	MoveCoverage:    {"move-coverage", KindMove, CauseSystem, "The model[ {model}] was loaded on the server[ {endpoint}] because no other server at the site[ {domain}] had it ready."},
	MoveOnDemand:    {"move-on-demand", KindMove, CauseSystem, "The model[ {model}] was loaded on the server[ {endpoint}] because a request was waiting for it[. It took {wait}]."},
	MoveUnloaded:    {"move-unloaded", KindMove, CauseSystem, "The model[ {model}] was taken off the server[ {endpoint}] to make room[ for {other}][; it had served {count} requests in the last minute]."},
	MoveFailed:      {"move-failed", KindMove, CauseSystem, "The model[ {model}] could not be loaded on the server[ {endpoint}][ within {wait}]. Its memory there stays set aside until we are sure that nothing is still under way."},
	MoveOutranked:   {"move-outranked", KindMove, CauseSystem, "An instruction about the model[ {model}] was turned down by the server[ {endpoint}] because another planner had taken over there. Nothing was changed."},
	AdapterLoaded:   {"adapter-loaded", KindMove, CauseSystem, "The add-on[ {other}] of the model[ {model}] was loaded on the server[ {endpoint}][ in {wait}]."},
	AdapterEvicted:  {"adapter-evicted", KindMove, CauseSystem, "The add-on[ {other}] of the model[ {model}] was taken off the server[ {endpoint}] because nobody had used it for longest[: {wait}]."},
	RoleChanged:     {"role-changed", KindMove, CauseSystem, "The server[ {endpoint}] was given another part of the work[: {other}]."},
	EjectedFailures: {"ejected-failures", KindEjection, CauseSystem, "The server[ {endpoint}] gets no new requests for now[, for {retry-after}], because it failed[ {count} times] in a row."},
	EndpointReturned: {
		"endpoint-returned", KindEjection, CauseSystem, "The server[ {endpoint}] works again[ after {wait}] and gets requests, few at first.",
	},
	EndpointLeaving: {"endpoint-leaving", KindEjection, CauseSystem, "The server[ {endpoint}] is being taken out of service and gets no new requests. What it is working on is finished[: {count} requests]."},

	LeaseTaken:     {"lease-taken", KindLease, CauseSystem, "The entry point[ {node}] now plans which models are loaded at the site[ {domain}][, after {other}]."},
	LeaseLost:      {"lease-lost", KindLease, CauseSystem, "The entry point[ {node}] no longer plans which models are loaded at the site[ {domain}], because it could not confirm in time that it still may."},
	LeaseGivenBack: {"lease-given-back", KindLease, CauseSystem, "The entry point[ {node}] handed over the planning of the models at the site[ {domain}], because it is being stopped."},
	SlotsTaken:     {"slots-taken", KindLease, CauseSystem, "The entry point[ {node}] took over a part of the allowances at the site[ {domain}][: {count} of {limit} parts][, from {other}]."},
	SlotsLost:      {"slots-lost", KindLease, CauseSystem, "The entry point[ {node}] stopped using a part of the allowances at the site[ {domain}][, {count} of {limit} parts], because it could not confirm in time that it still may."},
	SlotsGivenBack: {"slots-given-back", KindLease, CauseSystem, "The entry point[ {node}] gave back its part of the allowances at the site[ {domain}][: {count} of {limit} parts]."},

	KeyAdded:       {"key-added", KindKey, CauseSystem, "An access key[ {key}] was added for[ the] workspace[ {workspace}][, in version {revision} of the settings]."},
	KeyRemoved:     {"key-removed", KindKey, CauseSystem, "The access key[ {key}] of[ the] workspace[ {workspace}] was withdrawn[, in version {revision} of the settings][. {count} running answers were stopped]."},
	ConfigApplied:  {"config-applied", KindConfig, CauseSystem, "The settings were changed[ to version {revision}][ by {other}]."},
	ConfigConflict: {"config-conflict", KindConfig, CauseCaller, "A change of the settings[ by {other}] was turned down because somebody else had changed the same thing a moment before[, in version {revision}]. Nothing was changed."},
	ConfigInvalid:  {"config-invalid", KindConfig, CauseCaller, "A change of the settings[ by {other}] was turned down because it has mistakes[: {count}]. Nothing was changed."},

	MemberJoined:      {"member-joined", KindMember, CauseSystem, "The entry point[ {other}] at the site[ {domain}] joined and takes part in the work."},
	MemberSilent:      {"member-silent", KindMember, CauseSystem, "The entry point[ {other}] at the site[ {domain}] has not been heard of[ for {wait}]. The others do its work until it is back."},
	MemberDead:        {"member-dead", KindMember, CauseSystem, "The entry point[ {other}] at the site[ {domain}] has stopped for certain. Callers connected to it had to connect again."},
	DomainUnreachable: {"domain-unreachable", KindMember, CauseSystem, "The site[ {other}] cannot be reached from the site[ {domain}][ since {wait}]. Each goes on with what it has."},
	DomainBack:        {"domain-back", KindMember, CauseSystem, "The site[ {other}] can be reached again from the site[ {domain}][ after {wait}]."},
	PlatformDown:      {"platform-down", KindMember, CauseSystem, "The platform's record service does not answer[ since {wait}]. Running work goes on; the settings cannot be changed, and calls that must never be repeated are refused."},
	PlatformBack:      {"platform-back", KindMember, CauseSystem, "The platform's record service answers again[ after {wait}]."},

	ShutdownStarted: {"shutdown-started", KindShutdown, CauseSystem, "The entry point[ {node}] is being stopped. It takes no new requests and finishes the running ones[: {count}]."},
	ShutdownDone:    {"shutdown-done", KindShutdown, CauseSystem, "The entry point[ {node}] stopped[ after {wait}]. No request was interrupted."},
	ShutdownCut:     {"shutdown-cut", KindShutdown, CauseSystem, requestSubject + "was interrupted because the operator ended the entry point[ {node}] before its requests were finished[, after {wait}]."},

	InternalError: {"internal-error", KindFailure, CauseSystem, requestSubject + "failed by a fault of the entry point[ {node}] itself. It may have run."},
}

// Reasons lists every reason.
func Reasons() []Reason {
	out := make([]Reason, 0, numReasons-1)
	for r := ReasonNone + 1; r < numReasons; r++ {
		out = append(out, r)
	}
	return out
}

func (r Reason) info() reason {
	if r == ReasonNone || r >= numReasons {
		return reason{
			name:     fmt.Sprintf("reason-%d", uint16(r)),
			sentence: requestSubject + "met a condition that this version cannot name.",
		}
	}
	return reasons[r]
}

// String returns the name of the reason in kebab case.
func (r Reason) String() string {
	return r.info().name
}

// MarshalText implements encoding.TextMarshaler.
func (r Reason) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Reason) UnmarshalText(text []byte) error {
	for _, v := range Reasons() {
		if v.String() == string(text) {
			*r = v
			return nil
		}
	}
	var n uint16
	if _, err := fmt.Sscanf(string(text), "reason-%d", &n); err != nil {
		return fmt.Errorf("audit: unknown reason %q", text)
	}
	*r = Reason(n)
	return nil
}

// Kind returns the kind of the reason, or 0 if a newer version defines the reason.
func (r Reason) Kind() Kind {
	return r.info().kind
}

// Cause returns the party responsible, or 0 if a newer version defines the reason.
func (r Reason) Cause() Cause {
	return r.info().cause
}

// unserved reports whether the reason means that a request was not served.
func (r Reason) unserved() bool {
	k := r.Kind()
	return k == KindRefusal || k == KindFailure || r == ShutdownCut
}
