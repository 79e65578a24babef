// Package check tells whether a configuration keeps the four rules (BRIEF, "What are the four
// rules?") and its own limits: a platform's configuration, an operators' file, or a whole
// deployment of both. It does no I/O. The program runs the same check at its start and at
// SIGHUP as drumctl does: what passes here runs there.
package check

import "barleydrum.example/barleydrum/internal/config"

// Rule is one thing that a configuration is checked for.
type Rule struct {
	ID        string
	Level     config.Level
	Protects  string // what it protects: one of the four rules, or the installation
	Condition string // what is found, in a sentence
	Reason    string // what would go wrong
	Fix       string
}

// What the rules guard.
const (
	noRequestLost        = "no request lost"
	noEffectTwice        = "no effect twice"
	drainsKept           = "drains kept"
	coldEndpointsSafe    = "no cold endpoint pushed over"
	machineLimits        = "limits of the machine"
	consistentDeployment = "the deployment"
	validFile            = "the file"
)

// Rules lists the rules in the order of the reference, those of reading a file first.
var Rules = []Rule{
	{config.RuleUnreadable, config.LevelRefused, validFile, "The file can't be read: it is missing, not a regular file, too long, or changes each time it is read.", "", "give a regular file that is replaced by a rename"},
	{config.RuleSyntax, config.LevelRefused, validFile, "The text is no TOML, or no JSON.", "", ""},
	{config.RuleUnknownKey, config.LevelRefused, validFile, "A key or a part means nothing to this program.", "", ""},
	{config.RuleWrongType, config.LevelRefused, validFile, "A value is of another type than its key's.", "", ""},
	{config.RuleDuplicate, config.LevelRefused, validFile, "A key, a part or an element of a list is given twice.", "", ""},
	{config.RuleOutOfRange, config.LevelRefused, validFile, "A value is not among those allowed.", "", ""},
	{config.RuleMissingKey, config.LevelRefused, validFile, "A key is left out that is needed.", "", ""},
	{config.RuleSchemaVersion, config.LevelRefused, validFile, "The file is written for a newer program.", "", ""},
	{config.RuleInvalidPlatform, config.LevelRefused, validFile, "A platform's configuration has a value that can't be used.", "", ""},

	{"unsafe-retried", config.LevelRefused, noEffectTwice, "A class that is unsafe to repeat has retries.",
		"a request that may have run would be sent again, and its effect could happen twice", "set retries = 0, or leave it out"},
	{"unsafe-copied", config.LevelRefused, noEffectTwice, "A class that is unsafe to repeat has second copies.",
		"two copies of a request could run", "set second_copies = false, or leave it out"},
	{"late-repeat", config.LevelRefused, noEffectTwice, "A keyed class's last attempt may begin after its repeat window.",
		"endpoints have forgotten the key by then, and the effect would happen twice", "shorten retry_within or wanted below the repeat window"},
	{"no-window", config.LevelRefused, noEffectTwice, "A keyed class has no repeat window.",
		"nothing says how long a repeat is dropped", "set repeat_window to what the endpoints keep keys for"},
	{"looser-semantics", config.LevelRefused, noEffectTwice, "The file says that a class may be repeated more freely than the platform does.",
		"the platform knows what its endpoints do with a repeat", "leave semantics out, or say what the platform says"},
	{"looser-scope", config.LevelRefused, noEffectTwice, "The file gives a class a wider repeat scope than the platform does.",
		"an attempt would leave the endpoints that drop its repeats", "leave scope out, or narrow it"},
	{"looser-window", config.LevelRefused, noEffectTwice, "The file gives a class a longer repeat window than the platform does.",
		"an attempt could come after the endpoints have forgotten its key", "leave repeat_window out, or shorten it"},

	{"retry-past-deadline", config.LevelRefused, noRequestLost, "A class's retries may begin after its deadline.",
		"the client has gone, and the attempt is work for nobody", "set retry_within below wanted"},
	{"retry-past-wanted", config.LevelRefused, noRequestLost, "A class's retries may begin after the time its answer is wanted within.",
		"a retry that begins then can't be in time, and takes an endpoint from one that can", "set retry_within to wanted or less"},
	{"attempts-past-wanted", config.LevelRefused, noRequestLost, "The attempts that a class is allowed may outlast its wanted time by waiting for connections alone.",
		"attempts x connect_time is over what is left of wanted after the margins", "lower attempts or connect_time"},
	{"wanted-past-deadline", config.LevelRefused, noRequestLost, "A class's answer is wanted later than its deadline.",
		"the client has gone before the answer is late", "set wanted to the deadline or less"},
	{"looser-time", config.LevelRefused, noRequestLost, "The file gives a class more time than the platform does.",
		"clients don't wait for that long", "leave wanted and deadline out, or shorten them"},
	{"connect-past-wanted", config.LevelRefused, noRequestLost, "Waiting for one connection may take a class's whole wanted time.",
		"one endpoint that is silent costs the request", "set connect_time well below wanted"},
	{"margin-past-wanted", config.LevelRefused, noRequestLost, "The answer margins leave nothing of a class's wanted time.",
		"every request is given up on before it is sent", "lower answer_margin"},
	{"probe-past-wanted", config.LevelRefused, noRequestLost, "A probe is waited for longer than a class's answer is wanted within.",
		"whoever it finds idle, the request is late", "lower probe.time"},
	{"linger-short", config.LevelRefused, noRequestLost, "Connections are no longer accepted while callers still come after SIGTERM.",
		"on the platform they come for 400ms, and a request on one that is never accepted is lost", "set shutdown.linger to 400ms or more"},
	{"shutdown-past-kill", config.LevelRefused, noRequestLost, "The end after SIGTERM takes longer than the platform waits before SIGKILL.",
		"it comes 700ms after the longest deadline, and what is unanswered then is lost", "lower linger or spare"},
	{"idle-short", config.LevelRefused, noRequestLost, "Callers' idle connections are closed sooner than callers are told.",
		"on the platform an idle connection may be closed after 2s, and a request may cross an earlier close", "set idle_time to 2s or more"},

	{"drain-grace", config.LevelRefused, drainsKept, "The grace after news of a drain is over 500ms, and no platform gives another.",
		"nothing new may go to an endpoint later than that", "set drain_grace to 500ms or less"},
	{"looser-drain", config.LevelRefused, drainsKept, "The file gives drains a longer grace than the platform does.",
		"requests would go to an endpoint that counts on none", "leave drain_grace out, or shorten it"},
	{"drain-unheard", config.LevelRefused, drainsKept, "A call to discovery may take longer than the grace for drains.",
		"an agent that fell silent and has news again would be heard too late", "lower push_wait, push_answer or pause"},

	{"cold-instant", config.LevelRefused, coldEndpointsSafe, "Endpoints start with less than their capacity and are taken for warm within 100ms.",
		"a cold endpoint would get the load of a warm one", "set cold_time to what a start takes, or cold_share = 1"},
	{"looser-cold", config.LevelRefused, coldEndpointsSafe, "The file expects more of a cold endpoint than the platform does.",
		"all sidecars together would push it over", "leave the key out"},
	{"sidecars-undercounted", config.LevelRefused, coldEndpointsSafe, "More sidecars send to a tier than they are told.",
		"each takes a larger part of what a cold endpoint can do than is its own", "set fleet.sidecars to how many there are"},

	{"looser-limit", config.LevelRefused, machineLimits, "The file asks for more than the platform allows.",
		"the platform ends what goes over its limits", "leave the key out, or lower it"},
	{"descriptors", config.LevelRefused, machineLimits, "Connections, files of bodies and the reserve come to more than the descriptors.",
		"accepting and connecting would fail at the limit", "lower callers.connections or endpoints.connections, or raise limits.sockets"},
	{"memory", config.LevelRefused, machineLimits, "What callers' requests and their answers may hold comes to more than the memory.",
		"the sidecar would be killed, and all it holds lost", "lower connections, max_body or max_answer"},

	{"streams-memory", config.LevelRefused, machineLimits, "What bodies that flow may hold comes to more than the memory.",
		"the sidecar would be killed, and all it holds lost", "lower open, window or memory_all, or files_all where ram_disk is true"},
	{"streams-open", config.LevelRefused, machineLimits, "More requests with bodies that flow may be open than callers may have connections.",
		"callers with short requests would find no place", "lower streams.open, or raise callers.connections"},
	{"streams-platform", config.LevelRefused, machineLimits, "The file takes longer bodies than the platform's 64KiB.",
		"its callers and endpoints hold to that", "leave streams.max_body and streams.max_answer out"},
	{"streams-short", config.LevelRefused, noRequestLost, "Bodies that flow are to be shorter than those that are held whole.",
		"none would ever flow, or chunked ones would be refused that are short enough", "raise it over callers.max_body or endpoints.max_answer, or leave it out"},
	{"streams-kept", config.LevelRefused, machineLimits, "One body may be kept for longer than all together.",
		"it never would be", "raise memory_all or files_all, or lower memory or file"},

	{"listen-claimed", config.LevelRefused, consistentDeployment, "Two listeners claim one address.",
		"the second can't start, or takes the first one's callers", "give each its own port or address"},
	{"listen-discovery", config.LevelRefused, consistentDeployment, "A sidecar listens where it asks discovery.",
		"it would ask itself for endpoints", "give them different addresses"},
	{"listen-endpoint", config.LevelRefused, consistentDeployment, "A sidecar listens at the address of one of its endpoints.",
		"it would send its requests to itself", "give them different addresses"},
	{"listen-extra", config.LevelRefused, consistentDeployment, "The file adds listeners on a platform that gives a sidecar one address.",
		"the platform lets it listen there only", "leave also_listen out"},
	{"tier-circle", config.LevelRefused, consistentDeployment, "Tiers call each other in a circle.",
		"a request would go round until its time is up", "take one of the calls out"},
	{"platform-differs", config.LevelRefused, consistentDeployment, "The file and the platform differ on what the sidecar is.",
		"one of them is meant for another sidecar", "leave the key out, or mend it"},
	{"sidecar-number", config.LevelRefused, consistentDeployment, "A sidecar's number is not its own.",
		"sidecars with one number send to the same endpoints", "number them from 0, each once"},
	{"zone-unknown", config.LevelRefused, consistentDeployment, "A server room is named that there isn't.",
		"the sidecar would take itself or an endpoint for one of another room", "name one of the zones"},
	{"tier-unknown", config.LevelRefused, consistentDeployment, "A sidecar sends to a tier that there isn't.",
		"nothing tells what its endpoints are", "number the tiers from 0, in the order of settings.layers"},
	{"name-twice", config.LevelRefused, consistentDeployment, "A name stands for two things of one kind.",
		"what is meant for one would happen to the other", "give each its own"},
	{"class-unknown", config.LevelRefused, consistentDeployment, "The file narrows a class that the platform does not have.",
		"its bounds would hold for no request", "mend the name"},
	{"class-case", config.LevelRefused, consistentDeployment, "Two classes have names that differ only in case.",
		"a typing error would send one's requests under the other's bounds", "rename one, or mend the spelling"},
	{"module", config.LevelRefused, consistentDeployment, "The decision module does not take these settings.", "", ""},

	{"needs-platform", config.LevelWarning, consistentDeployment, "The file says too little to run with alone.",
		"it is for use beside a platform's configuration, or lacks listen and discovery", "check it together with that"},
	{"no-platform-match", config.LevelWarning, consistentDeployment, "No platform's configuration here sends to the file's tier.",
		"the file was checked by itself", "check application.tier"},
	{"retry-idle", config.LevelWarning, noRequestLost, "Retries may begin for a shorter time than a connection may take.",
		"after a connection that never came up there is no retry", "raise retry_within or lower connect_time"},
	{"retries-over-attempts", config.LevelWarning, validFile, "A class has more retries than its attempts leave room for.",
		"the attempts are the bound", "lower retries or raise attempts"},
	{"copies-over-attempts", config.LevelWarning, validFile, "A class has second copies and one attempt.",
		"there is no attempt left for a copy", "raise attempts or leave second_copies out"},
	{"client-past-window", config.LevelWarning, noEffectTwice, "A client may try again after its key is forgotten.",
		"its patience is longer than the repeat window, and its own retry could run as new", "have clients stop within the window"},
	{"margin-over-tenth", config.LevelWarning, noRequestLost, "The answer margin is over a tenth of a class's wanted time.",
		"a tenth is kept instead", "lower answer_margin"},
	{"probe-under-connect", config.LevelWarning, noRequestLost, "A probe is given up on before its connection may be up.",
		"an endpoint that is slow to connect looks ill", "set probe.time to connect_time or more"},
	{"slow-callers", config.LevelWarning, machineLimits, "A caller that sends nothing whole is ended after more than 3s.",
		"it holds a connection for as long", "lower head_time or body_time"},
	{"memory-tight", config.LevelWarning, machineLimits, "With every connection in use, buffers may come to more than the memory.",
		"the Go runtime collects harder, and the sidecar may be killed", "lower connections, max_body or max_answer"},
}

// RuleByID returns a rule by its identifier.
func RuleByID(id string) (Rule, bool) {
	for _, r := range Rules {
		if r.ID == id {
			return r, true
		}
	}
	return Rule{}, false
}
