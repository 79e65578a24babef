// Package check validates configurations against the four rules (BRIEF, "What are the four
// rules?") and against their own limits. It checks a platform's configuration, an operators'
// file, or a whole deployment of both, and does no I/O. drumctl runs these checks, and so does
// the sidecar when it starts and on SIGHUP, so the sidecar accepts every file that passes here.
package check

import "barleydrum.example/barleydrum/internal/config"

// Rule describes one check of a configuration.
type Rule struct {
	ID        string       // identifier, printed in findings and in the reference
	Level     config.Level // whether a finding refuses the file or only warns
	Protects  string       // what the rule protects: one of the four rules, or the installation
	Condition string       // the faulty condition, as a sentence
	Reason    string       // what would go wrong; empty if Condition says it
	Fix       string       // how to correct the configuration; may be empty
}

// Values of Rule.Protects.
const (
	noRequestLost        = "no request lost"
	noEffectTwice        = "no effect twice"
	drainsKept           = "drains kept"
	coldEndpointsSafe    = "no cold endpoint pushed over"
	machineLimits        = "limits of the machine"
	consistentDeployment = "the deployment"
	validFile            = "the file"
)

// Rules lists all rules in the order of the reference page. The rules of reading a file come first.
var Rules = []Rule{
	{config.RuleUnreadable, config.LevelRefused, validFile, "The file can't be read: it is missing, not a regular file, too long, or keeps changing while it is read.", "", "name a regular file, and replace it only by renaming a new one over it"},
	{config.RuleSyntax, config.LevelRefused, validFile, "The file is not valid TOML or JSON.", "", ""},
	{config.RuleUnknownKey, config.LevelRefused, validFile, "The file has a key or part that this version of the program does not have.", "", ""},
	{config.RuleWrongType, config.LevelRefused, validFile, "A value has the wrong type for its key.", "", ""},
	{config.RuleDuplicate, config.LevelRefused, validFile, "A key, a part or an element of a list is given twice.", "", ""},
	{config.RuleOutOfRange, config.LevelRefused, validFile, "A value is not among those allowed.", "", ""},
	{config.RuleMissingKey, config.LevelRefused, validFile, "A required key is missing.", "", ""},
	{config.RuleSchemaVersion, config.LevelRefused, validFile, "The file was written for a newer version of the program.", "", ""},
	{config.RuleInvalidPlatform, config.LevelRefused, validFile, "A platform's configuration has an invalid value.", "", ""},

	{"unsafe-retried", config.LevelRefused, noEffectTwice, "A class that is unsafe to repeat has retries.",
		"a request that may have run would be sent again, and could take effect twice", "set retries = 0, or leave it out"},
	{"unsafe-copied", config.LevelRefused, noEffectTwice, "A class that is unsafe to repeat has second copies (hedged attempts).",
		"both copies of a request could run", "set second_copies = false, or leave it out"},
	{"late-repeat", config.LevelRefused, noEffectTwice, "The last attempt of a keyed class may start after its repeat window.",
		"endpoints have forgotten the key by then, and the request could take effect twice", "set retry_within or wanted below the repeat window"},
	{"no-window", config.LevelRefused, noEffectTwice, "A keyed class has no repeat window.",
		"it is unknown for how long endpoints drop repeated requests", "set repeat_window to the time for which endpoints remember keys"},
	{"looser-semantics", config.LevelRefused, noEffectTwice, "The file allows more repetition of a class than the platform does.",
		"the platform states how its endpoints treat a repeated request", "leave semantics out, or use the platform's value"},
	{"looser-scope", config.LevelRefused, noEffectTwice, "The file gives a class a wider repeat scope than the platform does.",
		"an attempt could go to an endpoint that does not recognize it as a repeat", "leave scope out, or set a narrower one"},
	{"looser-window", config.LevelRefused, noEffectTwice, "The file gives a class a longer repeat window than the platform does.",
		"an attempt could arrive after the endpoints have forgotten its key", "leave repeat_window out, or shorten it"},

	{"retry-past-deadline", config.LevelRefused, noRequestLost, "A class's retries may start after its deadline.",
		"the client has given up by then, and nobody receives the response", "set retry_within below wanted"},
	{"retry-past-wanted", config.LevelRefused, noRequestLost, "A class's retries may start after its wanted time.",
		"such a retry can't finish in time, and occupies an endpoint that other requests need", "set retry_within to wanted or less"},
	{"attempts-past-wanted", config.LevelRefused, noRequestLost, "Connecting for all attempts of a class may take longer than its wanted time.",
		"attempts x connect_time exceeds the wanted time less the margins", "lower attempts or connect_time"},
	{"wanted-past-deadline", config.LevelRefused, noRequestLost, "A class's wanted time is longer than its deadline.",
		"the client gives up before the wanted time is over", "set wanted to the deadline or less"},
	{"looser-time", config.LevelRefused, noRequestLost, "The file gives a class more time than the platform does.",
		"clients don't wait that long", "leave wanted and deadline out, or shorten them"},
	{"connect-past-wanted", config.LevelRefused, noRequestLost, "Connecting to one endpoint may take a class's whole wanted time.",
		"a single endpoint that does not respond makes the request fail", "set connect_time well below wanted"},
	{"margin-past-wanted", config.LevelRefused, noRequestLost, "The answer margins use up a class's whole wanted time.",
		"every request would be given up before it is sent", "lower answer_margin"},
	{"probe-past-wanted", config.LevelRefused, noRequestLost, "A probe may take as long as a class's wanted time, or longer.",
		"whichever endpoint the probe finds idle, the request is late", "lower probe.time"},
	{"linger-short", config.LevelRefused, noRequestLost, "After SIGTERM the sidecar stops accepting connections while callers still connect.",
		"on the platform callers connect for 400ms after SIGTERM, and a request on a connection that is not accepted is lost", "set shutdown.linger to 400ms or more"},
	{"shutdown-past-kill", config.LevelRefused, noRequestLost, "The shutdown after SIGTERM takes longer than the platform waits before SIGKILL.",
		"SIGKILL follows 700ms after the longest deadline, and requests without a response are lost then", "lower linger or spare"},
	{"idle-short", config.LevelRefused, noRequestLost, "Idle connections of callers are closed sooner than the platform specifies.",
		"on the platform an idle connection may be closed after 2s; an earlier close may cross a request that is on its way", "set idle_time to 2s or more"},

	{"drain-grace", config.LevelRefused, drainsKept, "The grace for drains is over 500ms, and no platform allows a longer one.",
		"no new request may go to a draining endpoint later than that", "set drain_grace to 500ms or less"},
	{"looser-drain", config.LevelRefused, drainsKept, "The file gives drains a longer grace than the platform does.",
		"requests would go to an endpoint that no longer expects any", "leave drain_grace out, or shorten it"},
	{"drain-unheard", config.LevelRefused, drainsKept, "A discovery request may take longer than the grace for drains.",
		"when an agent reports again after a silence, its report of a drain could come too late", "lower push_wait, push_answer or pause"},

	{"cold-instant", config.LevelRefused, coldEndpointsSafe, "Endpoints start below full capacity but count as warm within 100ms.",
		"a cold endpoint would get a warm endpoint's load", "set cold_time to the time that the warm-up takes, or cold_share = 1"},
	{"looser-cold", config.LevelRefused, coldEndpointsSafe, "The file allows more load on a cold endpoint than the platform does.",
		"all sidecars together would overload it", "leave the key out"},
	{"sidecars-undercounted", config.LevelRefused, coldEndpointsSafe, "More sidecars send to a tier than their configuration states.",
		"each sidecar would send more than its share to a cold endpoint", "set fleet.sidecars to the number of sidecars"},

	{"looser-limit", config.LevelRefused, machineLimits, "The file asks for more than the platform allows.",
		"the platform terminates a process that exceeds its limits", "leave the key out, or lower it"},
	{"descriptors", config.LevelRefused, machineLimits, "Connections, body files and the reserve need more file descriptors than the limit.",
		"accepting and connecting would fail at the limit", "lower callers.connections or endpoints.connections, or raise limits.sockets"},
	{"memory", config.LevelRefused, machineLimits, "Callers' requests and their responses may need more memory than the limit.",
		"the sidecar would be killed, and all its requests lost", "lower connections, max_body or max_answer"},

	{"streams-memory", config.LevelRefused, machineLimits, "Streamed bodies may need more memory than the limit.",
		"the sidecar would be killed, and all its requests lost", "lower open, window or memory_all, or files_all where ram_disk is true"},
	{"streams-open", config.LevelRefused, machineLimits, "More requests with streamed bodies may be open than callers may have connections.",
		"callers with short requests would get no connection", "lower streams.open, or raise callers.connections"},
	{"streams-platform", config.LevelRefused, machineLimits, "The file allows longer bodies than the platform's 64KiB.",
		"the platform's callers and endpoints keep to that limit", "leave streams.max_body and streams.max_answer out"},
	{"streams-short", config.LevelRefused, noRequestLost, "The limit for streamed bodies is below the limit for bodies held in memory.",
		"no body would be streamed, or chunked bodies would be refused although they are short enough", "raise it to at least callers.max_body or endpoints.max_answer, or leave it out"},
	{"streams-kept", config.LevelRefused, machineLimits, "More of one body may be retained than of all bodies together.",
		"so much of one body is never retained", "raise memory_all or files_all, or lower memory or file"},

	{"listen-claimed", config.LevelRefused, consistentDeployment, "Two listeners use the same address.",
		"the second one can't start, or receives the first one's callers", "give each listener its own port or address"},
	{"listen-discovery", config.LevelRefused, consistentDeployment, "A sidecar listens on the address of its discovery.",
		"the sidecar would ask itself for endpoints", "give them different addresses"},
	{"listen-endpoint", config.LevelRefused, consistentDeployment, "A sidecar listens on the address of one of its endpoints.",
		"the sidecar would send requests to itself", "give them different addresses"},
	{"listen-extra", config.LevelRefused, consistentDeployment, "The file adds listeners where the platform gives a sidecar one address.",
		"the platform lets the sidecar listen on that address only", "leave also_listen out"},
	{"tier-circle", config.LevelRefused, consistentDeployment, "Tiers call each other in a circle.",
		"a request would circulate until its deadline", "remove one of the calls"},
	{"platform-differs", config.LevelRefused, consistentDeployment, "The file and the platform's configuration describe different sidecars.",
		"one of them is meant for another sidecar", "leave the key out, or correct it"},
	{"sidecar-number", config.LevelRefused, consistentDeployment, "A sidecar's number is out of range, or another sidecar has it.",
		"sidecars with the same number send to the same endpoints", "number the sidecars from 0, and use each number once"},
	{"zone-unknown", config.LevelRefused, consistentDeployment, "A configuration names a zone that is not in the list of zones.",
		"the sidecar would assume a wrong zone for itself or an endpoint", "name one of the zones"},
	{"tier-unknown", config.LevelRefused, consistentDeployment, "A sidecar sends to a tier that is not in the list of tiers.",
		"the endpoints of such a tier are unknown", "number the tiers from 0, in the order of settings.layers"},
	{"name-twice", config.LevelRefused, consistentDeployment, "A name in a list is empty or given twice.",
		"settings or requests for one would apply to the other", "give each a name of its own"},
	{"class-unknown", config.LevelRefused, consistentDeployment, "The file narrows a class that the platform's configuration does not have.",
		"its settings would apply to no request", "correct the name"},
	{"class-case", config.LevelRefused, consistentDeployment, "The names of two classes differ only in case.",
		"a spelling error would apply one class's settings to the other's requests", "rename one, or correct the spelling"},
	{"module", config.LevelRefused, consistentDeployment, "The balancer rejects these settings.", "", ""},

	{"needs-platform", config.LevelWarning, consistentDeployment, "The file is not complete enough to be used alone.",
		"it is meant for use with a platform's configuration, or lacks listen and discovery", "check it together with the platform's configuration"},
	{"no-platform-match", config.LevelWarning, consistentDeployment, "No platform's configuration here sends to the file's tier.",
		"the file was checked alone", "check application.tier"},
	{"retry-idle", config.LevelWarning, noRequestLost, "retry_within is shorter than connect_time.",
		"a request whose connection times out is not retried", "raise retry_within or lower connect_time"},
	{"retries-over-attempts", config.LevelWarning, validFile, "A class has as many retries as attempts, or more.",
		"the number of attempts is the limit", "lower retries or raise attempts"},
	{"copies-over-attempts", config.LevelWarning, validFile, "A class with one attempt has second copies.",
		"a second copy would need a second attempt", "raise attempts or leave second_copies out"},
	{"client-past-window", config.LevelWarning, noEffectTwice, "A client may retry after endpoints have forgotten its key.",
		"its deadline is longer than the repeat window, and its own retry could run as a new request", "make clients stop retrying within the window"},
	{"margin-over-tenth", config.LevelWarning, noRequestLost, "The answer margin is over a tenth of a class's wanted time.",
		"a tenth is used instead", "lower answer_margin"},
	{"probe-under-connect", config.LevelWarning, noRequestLost, "A probe may time out before its connection is established.",
		"an endpoint that is slow to accept connections looks unhealthy", "set probe.time to connect_time or more"},
	{"slow-callers", config.LevelWarning, machineLimits, "A caller that sends no complete request is disconnected only after more than 3s.",
		"it occupies a connection for that time", "lower head_time or body_time"},
	{"memory-tight", config.LevelWarning, machineLimits, "With every connection in use, buffers may need more memory than the limit.",
		"garbage collection takes more CPU time, and the sidecar may be killed", "lower connections, max_body or max_answer"},
}

// RuleByID returns the rule with the identifier id and reports whether there is one.
func RuleByID(id string) (Rule, bool) {
	for _, r := range Rules {
		if r.ID == id {
			return r, true
		}
	}
	return Rule{}, false
}
